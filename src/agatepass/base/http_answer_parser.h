/** \file
 * Reads HTTP answers from the bytes of a connection, in pieces of any size.
 */
#ifndef AGATEPASS_BASE_HTTP_ANSWER_PARSER_H_
#define AGATEPASS_BASE_HTTP_ANSWER_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "agatepass/base/http_message.h"

namespace agatepass::base {

/** Reads one answer after the other. Bodies end by their length, by chunks, or
 * with the connection.
 *
 * \code
 * HttpAnswerParser parser(8 * 1024 * 1024);
 * if (parser.Parse(bytes) == HttpAnswerParser::Status::kComplete) {
 *   Handle(parser.TakeAnswer());
 * }
 * \endcode
 */
class HttpAnswerParser {
 public:
  enum class Status : uint8_t { kIncomplete, kComplete, kMalformed, kTooLarge };

  /** \param max_body_bytes size from which a body is not read. */
  explicit HttpAnswerParser(size_t max_body_bytes)
      : max_body_bytes(max_body_bytes) {}

  /** Reads further bytes of the connection.
   * \return the state of the present answer; once it is not kIncomplete it
   *     stays so until TakeAnswer or Reset. */
  Status Parse(std::string_view bytes);

  /** Records that the connection has ended.
   * \return kComplete if the answer's body ends with the connection. */
  Status OnConnectionEnd();

  /** Returns the complete answer and prepares for the next one. */
  HttpAnswer TakeAnswer();

  /** Prepares for the next answer and forgets the present one. */
  void Reset();

  /** Whether the server keeps the connection open after the complete answer,
   * and has sent nothing beyond it. */
  bool MayReuseConnection() const {
    return this->keeps_open && !this->has_excess_bytes;
  }

  /** Greatest size of an answer's head, interim answers included. */
  static constexpr size_t kMaxHeadBytes = 64 * 1024;

 private:
  enum class Part : uint8_t {
    kStatusLine,
    kHeaders,
    kBodyOfKnownLength,
    kBodyToConnectionEnd,
    kChunkSize,
    kChunk,
    kChunkEnd,
    kTrailers,
  };

  bool IsInBody() const;
  /** Reads up to the end of a line.
   * \return the number of bytes that were read. */
  size_t ParseLine(std::string_view bytes);
  size_t ParseBody(std::string_view bytes);
  void OnLine(std::string_view line);
  void OnStatusLine(std::string_view line);
  void OnHeader(std::string_view line);
  void OnContentLength(std::string_view value);
  void OnHeadersEnd();
  void OnChunkSize(std::string_view line);
  void ExpectBody(Part next, size_t bytes);

  size_t max_body_bytes;
  Status status = Status::kIncomplete;
  Part part = Part::kStatusLine;
  HttpAnswer answer;
  /** Beginning of a line whose end has not arrived. */
  std::string line_start;
  size_t head_bytes = 0;
  /** Bytes left of a body of known length, or of the chunk. */
  size_t bytes_left = 0;
  size_t content_length = 0;
  bool has_length = false;
  bool is_chunked = false;
  bool keeps_open = true;
  bool has_excess_bytes = false;
};

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_HTTP_ANSWER_PARSER_H_
