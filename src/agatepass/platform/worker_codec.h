/** \file
 * The JSON form of commands to workers and of their replies, used by the
 * client and by stand-ins of the platform's worker.
 */
#ifndef AGATEPASS_PLATFORM_WORKER_CODEC_H_
#define AGATEPASS_PLATFORM_WORKER_CODEC_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "agatepass/platform/worker.h"

namespace agatepass::platform {

/** Returns the path that `verb` is posted to, such as "/v1/tasks/start". */
std::string_view WorkerPath(WorkerVerb verb);

/** Renders the body of `call`. */
std::string EncodeWorkerCall(const WorkerCall& call);

/** Reads a command posted to `path`.
 * \return kInvalidRequest if the path or the body is not a command.
 */
absl::StatusOr<WorkerCall> DecodeWorkerCall(std::string_view path,
                                            std::string_view body);

/** Renders the body of `reply`. */
std::string EncodeWorkerReply(const WorkerReply& reply);

/** Reads a reply; kInvalidRequest if it is malformed. The outcome is not part
 * of it. */
absl::StatusOr<WorkerReply> DecodeWorkerReply(std::string_view body);

}  // namespace agatepass::platform

#endif  // AGATEPASS_PLATFORM_WORKER_CODEC_H_
