#include "agatepass/peers/messages.h"

#include <array>

namespace agatepass::peers {
namespace {

// In the order of the variant's alternatives.
constexpr std::array<std::string_view, std::variant_size_v<Message>> kNames = {
    "heartbeat",        "config text",    "config query",        "job query",
    "job answer",       "ticket query",   "ticket answer",       "why query",
    "why answer",       "timeline query", "timeline answer",     "reserve",
    "reserve answer",   "commit",         "commit answer",       "release",
    "release answer",   "task reports",   "task reports answer", "task stop",
    "task stop answer", "task query",     "task answer",         "handover"};

}  // namespace

std::string_view MessageName(const Message& message) {
  return kNames[message.index()];
}

}  // namespace agatepass::peers
