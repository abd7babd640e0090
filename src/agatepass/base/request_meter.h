/** \file
 * Estimates the memory of a request while it is being received.
 */
#ifndef AGATEPASS_BASE_REQUEST_METER_H_
#define AGATEPASS_BASE_REQUEST_METER_H_

#include <cstddef>
#include <string_view>

namespace agatepass::base {

/** Counts the bytes and the header fields of one request.
 *
 * \code
 * meter.Reset();
 * meter.Add("GET / HTTP/1.1\r\na:\r\n");
 * budget.OnReceived(id, meter.EstimateMemory(), now);
 * \endcode
 */
class RequestMeter {
 public:
  /** Begins the next request. */
  void Reset() { *this = {}; }

  /** Whether further bytes still belong to the header. */
  bool in_header() const { return this->is_header; }

  /** Adds bytes whose content does not matter. */
  void AddBytes(size_t count) { this->bytes += count; }

  /** Adds bytes that have arrived. */
  void Add(std::string_view text) {
    this->bytes += text.size();
    for (const char byte : text) {
      if (!this->is_header) return;
      if (byte == '\n') {
        this->OnLineEnd();
      } else if (byte != '\r') {
        ++this->line_bytes;
      }
    }
  }

  /** Returns the memory that the request takes, estimated. */
  size_t EstimateMemory() const {
    return this->bytes * kMemoryPerByte + this->lines * kMemoryPerField;
  }

 private:
  /** Buffers grow by doubling. */
  static constexpr size_t kMemoryPerByte = 2;
  /** A parsed field is an entry and two texts, each allocated by itself. */
  static constexpr size_t kMemoryPerField = 128;

  void OnLineEnd() {
    if (this->line_bytes == 0 && this->lines > 0) {
      this->is_header = false;
    } else {
      ++this->lines;
    }
    this->line_bytes = 0;
  }

  size_t bytes = 0;
  size_t lines = 0;
  size_t line_bytes = 0;
  bool is_header = true;
};

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_REQUEST_METER_H_
