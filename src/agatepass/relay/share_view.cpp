#include "agatepass/relay/share_view.h"

#include <algorithm>

#include "agatepass/relay/text_hash.h"

namespace agatepass::relay {

namespace {

bool Contains(std::span<const base::HostId> hosts, const base::HostId& host) {
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

}  // namespace

int SlotsUnder(const ShareView& view, const base::HostId& host,
               const base::UpstreamId& upstream, int slots) {
  const auto departed = std::find_if(
      view.departed.begin(), view.departed.end(),
      [&](const DepartedHost& entry) { return entry.host == host; });
  if (departed != view.departed.end())
    return departed - view.departed.begin() < slots ? 1 : 0;
  const auto member = std::find(view.members.begin(), view.members.end(), host);
  if (member == view.members.end()) return 0;
  const int count = static_cast<int>(view.members.size());
  const int rest = std::max(slots - static_cast<int>(view.departed.size()), 0);
  const int turn =
      static_cast<int>(HashText(upstream.value) % static_cast<uint64_t>(count));
  const int rank =
      (static_cast<int>(member - view.members.begin()) + turn) % count;
  return rest / count + (rank < rest % count ? 1 : 0);
}

ShareView NextView(const ShareView& current, std::span<const base::HostId> live,
                   std::span<const base::HostId> ended) {
  size_t running = 0;
  size_t staying = 0;
  for (const base::HostId& host : current.members) {
    if (Contains(ended, host)) continue;
    ++running;
    if (Contains(live, host)) ++staying;
  }
  if (staying * 2 <= running && running > 0) return current;
  ShareView next = current;
  next.members.assign(live.begin(), live.end());
  std::sort(next.members.begin(), next.members.end());
  next.members.erase(std::unique(next.members.begin(), next.members.end()),
                     next.members.end());
  for (const base::HostId& host : current.members) {
    if (!Contains(next.members, host))
      next.departed.push_back({host, current.number + 1});
  }
  std::erase_if(next.departed, [&](const DepartedHost& entry) {
    return Contains(ended, entry.host) || Contains(next.members, entry.host);
  });
  if (next != current) next.number = current.number + 1;
  return next;
}

}  // namespace agatepass::relay
