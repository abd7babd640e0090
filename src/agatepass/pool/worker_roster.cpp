#include "agatepass/pool/worker_roster.h"

#include "agatepass/base/text.h"

namespace agatepass::pool {

namespace {

constexpr char kLineEnd = '\n';
constexpr char kFieldSeparator = '\t';

}  // namespace

std::string EncodeWorkerRoster(const WorkerRoster& roster) {
  std::string text;
  for (const base::WorkerId& id : roster.workers) {
    text += id.value;
    if (const auto settled = roster.settled.find(id);
        settled != roster.settled.end()) {
      text += kFieldSeparator;
      text += std::to_string(settled->second);
    }
    text += kLineEnd;
  }
  return text;
}

WorkerRoster DecodeWorkerRoster(std::string_view text) {
  WorkerRoster roster;
  for (const std::string_view line : base::SplitList(text, kLineEnd)) {
    const size_t separator = line.find(kFieldSeparator);
    const base::WorkerId& id =
        roster.workers.emplace_back(line.substr(0, separator));
    if (separator == std::string_view::npos) continue;
    if (const auto start =
            base::ParseNumber<int64_t>(line.substr(separator + 1)))
      roster.settled[id] = *start;
  }
  return roster;
}

}  // namespace agatepass::pool
