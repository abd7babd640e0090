/** \file
 * Segments of a journal as compact JSON, by nlohmann-json.
 */
#ifndef AGATEPASS_JOBS_RECORD_CODEC_H_
#define AGATEPASS_JOBS_RECORD_CODEC_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "agatepass/jobs/journal_record.h"

namespace agatepass::jobs {

/** Returns one record as JSON text. */
std::string EncodeRecord(const JournalRecord& record);

/** Returns a whole segment as the text of its value in the store. */
std::string EncodeSegment(const Segment& segment);

/** As EncodeSegment, with the records already encoded and joined by commas. */
std::string EncodeSegmentOf(const Segment& head, std::string_view records);

/** Reads a segment back, whole or not at all.
 * \return kStoreContentChanged with what is wrong, if any of it is malformed.
 */
absl::StatusOr<Segment> DecodeSegment(std::string_view text);

}  // namespace agatepass::jobs

#endif  // AGATEPASS_JOBS_RECORD_CODEC_H_
