#include "agatepass/base/http_answer_parser.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "agatepass/base/text.h"

namespace agatepass::base {

namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kLowestStatus = 100;
constexpr int kLowestFinalStatus = 200;
constexpr int kHighestStatus = 599;

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlank = " \t";
  const size_t first = text.find_first_not_of(kBlank);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlank) - first + 1);
}

/** Parses a number without sign that is the whole text. */
std::optional<size_t> ParseSize(std::string_view text, int base) {
  size_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

/** Whether a list of tokens, separated by commas, has this one. */
bool HasToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    if (EqualsIgnoreCase(Trim(list.substr(0, comma)), token)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

}  // namespace

HttpAnswerParser::Status HttpAnswerParser::Parse(std::string_view bytes) {
  while (this->status == Status::kIncomplete && !bytes.empty()) {
    bytes.remove_prefix(this->IsInBody() ? this->ParseBody(bytes)
                                         : this->ParseLine(bytes));
  }
  if (!bytes.empty()) this->has_excess_bytes = true;
  return this->status;
}

HttpAnswerParser::Status HttpAnswerParser::OnConnectionEnd() {
  if (this->status == Status::kIncomplete &&
      this->part == Part::kBodyToConnectionEnd) {
    this->status = Status::kComplete;
  }
  return this->status;
}

HttpAnswer HttpAnswerParser::TakeAnswer() {
  HttpAnswer taken = std::move(this->answer);
  this->Reset();
  return taken;
}

void HttpAnswerParser::Reset() {
  this->status = Status::kIncomplete;
  this->part = Part::kStatusLine;
  this->answer = {};
  this->line_start.clear();
  this->head_bytes = 0;
  this->bytes_left = 0;
  this->content_length = 0;
  this->has_length = false;
  this->is_chunked = false;
  this->keeps_open = true;
  this->has_excess_bytes = false;
}

bool HttpAnswerParser::IsInBody() const {
  return this->part == Part::kBodyOfKnownLength ||
         this->part == Part::kBodyToConnectionEnd || this->part == Part::kChunk;
}

size_t HttpAnswerParser::ParseLine(std::string_view bytes) {
  const size_t end = bytes.find('\n');
  const size_t taken = end == std::string_view::npos ? bytes.size() : end + 1;
  this->head_bytes += taken;
  if (this->head_bytes > kMaxHeadBytes) {
    this->status = Status::kMalformed;
    return taken;
  }
  if (end == std::string_view::npos) {
    this->line_start += bytes;
    return taken;
  }
  std::string_view line = bytes.substr(0, end);
  const std::string start = std::exchange(this->line_start, {});
  std::string whole;
  if (!start.empty()) {
    whole = start + std::string(line);
    line = whole;
  }
  if (line.ends_with('\r')) line.remove_suffix(1);
  this->OnLine(line);
  return taken;
}

size_t HttpAnswerParser::ParseBody(std::string_view bytes) {
  std::string& body = this->answer.body;
  const bool to_end = this->part == Part::kBodyToConnectionEnd;
  const size_t taken =
      to_end ? bytes.size() : std::min(bytes.size(), this->bytes_left);
  if (body.size() + taken > this->max_body_bytes) {
    this->status = Status::kTooLarge;
    return taken;
  }
  body += bytes.substr(0, taken);
  if (to_end) return taken;
  this->bytes_left -= taken;
  if (this->bytes_left > 0) return taken;
  if (this->part == Part::kChunk) {
    this->part = Part::kChunkEnd;
  } else {
    this->status = Status::kComplete;
  }
  return taken;
}

void HttpAnswerParser::OnLine(std::string_view line) {
  switch (this->part) {
    case Part::kStatusLine:
      this->OnStatusLine(line);
      break;
    case Part::kHeaders:
      if (line.empty()) {
        this->OnHeadersEnd();
      } else {
        this->OnHeader(line);
      }
      break;
    case Part::kChunkSize:
      this->OnChunkSize(line);
      break;
    case Part::kChunkEnd:
      if (line.empty()) {
        this->part = Part::kChunkSize;
      } else {
        this->status = Status::kMalformed;
      }
      break;
    case Part::kTrailers:
      if (line.empty()) this->status = Status::kComplete;
      break;
    default:
      break;
  }
}

void HttpAnswerParser::OnStatusLine(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr size_t kCodeStart = kVersion.size() + 2;
  constexpr size_t kCodeSize = 3;
  this->part = Part::kHeaders;
  const bool has_code = line.starts_with(kVersion) &&
                        line.size() >= kCodeStart + kCodeSize &&
                        line[kCodeStart - 1] == ' ';
  const std::optional<size_t> code =
      has_code ? ParseSize(line.substr(kCodeStart, kCodeSize), 10)
               : std::nullopt;
  if (!code || *code < kLowestStatus || *code > kHighestStatus) {
    this->status = Status::kMalformed;
    return;
  }
  this->answer.status = static_cast<int>(*code);
  this->keeps_open = line[kVersion.size()] != '0';
}

void HttpAnswerParser::OnHeader(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0 || line.front() == ' ' ||
      line.front() == '\t') {
    this->status = Status::kMalformed;
    return;
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = Trim(line.substr(colon + 1));
  if (EqualsIgnoreCase(name, "Content-Length")) {
    this->OnContentLength(value);
  } else if (EqualsIgnoreCase(name, "Transfer-Encoding")) {
    this->is_chunked = HasToken(value, "chunked");
  } else if (EqualsIgnoreCase(name, "Connection")) {
    if (HasToken(value, "close")) this->keeps_open = false;
    if (HasToken(value, "keep-alive")) this->keeps_open = true;
  }
  this->answer.headers.push_back({std::string(name), std::string(value)});
}

void HttpAnswerParser::OnContentLength(std::string_view value) {
  const std::optional<size_t> length = ParseSize(value, 10);
  if (!length || (this->has_length && *length != this->content_length)) {
    this->status = Status::kMalformed;
    return;
  }
  this->has_length = true;
  this->content_length = *length;
}

void HttpAnswerParser::OnHeadersEnd() {
  if (this->answer.status < kLowestFinalStatus) {
    // An interim answer: the final one follows.
    const size_t read = this->head_bytes;
    this->Reset();
    this->head_bytes = read;
    return;
  }
  if (this->answer.status == kNoContent ||
      this->answer.status == kNotModified) {
    this->status = Status::kComplete;
  } else if (this->is_chunked) {
    this->part = Part::kChunkSize;
  } else if (this->has_length) {
    this->ExpectBody(Part::kBodyOfKnownLength, this->content_length);
    if (this->content_length == 0) this->status = Status::kComplete;
  } else {
    this->keeps_open = false;
    this->part = Part::kBodyToConnectionEnd;
  }
}

void HttpAnswerParser::OnChunkSize(std::string_view line) {
  const std::optional<size_t> size =
      ParseSize(Trim(line.substr(0, line.find(';'))), 16);
  if (!size) {
    this->status = Status::kMalformed;
  } else if (*size == 0) {
    this->part = Part::kTrailers;
  } else {
    this->ExpectBody(Part::kChunk, *size);
  }
  // The bound is for heads: a body may have any number of chunks.
  this->head_bytes = 0;
}

void HttpAnswerParser::ExpectBody(Part next, size_t bytes) {
  const size_t room = this->max_body_bytes - this->answer.body.size();
  if (bytes > room) {
    this->status = Status::kTooLarge;
    return;
  }
  this->part = next;
  this->bytes_left = bytes;
  this->answer.body.reserve(this->answer.body.size() + bytes);
}

}  // namespace agatepass::base
