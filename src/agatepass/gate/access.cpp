#include "agatepass/gate/access.h"

#include "agatepass/base/result_code.h"

namespace agatepass::gate {

namespace {

constexpr std::string_view kScheme = "Bearer ";

// Takes a time that depends on the lengths only, so that a caller cannot find
// a token letter by letter.
bool EqualInConstantTime(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  unsigned difference = 0;
  for (size_t i = 0; i < left.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^
                  static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

}  // namespace

absl::StatusOr<Caller> Access::Identify(
    const base::HttpRequest& request) const {
  const std::string_view value =
      base::FindHeader(request.headers, "Authorization");
  if (value.starts_with(kScheme)) {
    const std::string_view token = value.substr(kScheme.size());
    if (EqualInConstantTime(token, this->operator_token)) {
      return Caller{base::TeamId(), true};
    }
    for (const TeamToken& entry : this->teams) {
      if (EqualInConstantTime(token, entry.token)) {
        return Caller{entry.team, false};
      }
    }
  }
  return base::ErrorStatus(base::ResultCode::kUnauthenticated,
                           "the header Authorization holds no known token");
}

}  // namespace agatepass::gate
