#include "agatepass/relay/request.h"

#include <array>

#include "agatepass/base/text.h"
#include "fmt/format.h"

namespace agatepass::relay {

namespace {

constexpr std::array<std::string_view, kRequestClasses> kClassNames = {
    "urgent", "interactive", "bulk"};

}  // namespace

std::string_view RequestClassName(RequestClass request_class) {
  return kClassNames[static_cast<size_t>(request_class)];
}

std::optional<RequestClass> ParseRequestClass(std::string_view name) {
  for (size_t i = 0; i < kClassNames.size(); ++i) {
    if (kClassNames[i] == name) return static_cast<RequestClass>(i);
  }
  return std::nullopt;
}

std::string Ticket::ToString() const {
  return fmt::format("{}.{}.{}", this->host.value, this->incarnation,
                     this->number);
}

std::optional<Ticket> ParseTicket(std::string_view text) {
  const size_t last = text.rfind('.');
  if (last == std::string_view::npos || last == 0) return std::nullopt;
  const size_t middle = text.rfind('.', last - 1);
  if (middle == std::string_view::npos || middle == 0) return std::nullopt;
  const auto incarnation =
      base::ParseNumber<uint64_t>(text.substr(middle + 1, last - middle - 1));
  const auto number = base::ParseNumber<uint64_t>(text.substr(last + 1));
  if (!incarnation || !number) return std::nullopt;
  return Ticket{base::HostId(text.substr(0, middle)), *incarnation, *number};
}

}  // namespace agatepass::relay
