#include "agatepass/pool/team_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace agatepass::pool {

namespace {

/** Largest window, which bounds its memory. */
constexpr double kMaxWindowSize = 100'000;

/** Returns how many jobs a window has room for: at least one with any weight.
 */
size_t WindowSize(double weight) {
  if (!(weight > 0)) return 0;
  const double jobs = std::floor(weight * base::ToSeconds(TeamShares::kWindow));
  return static_cast<size_t>(std::clamp(jobs, 1.0, kMaxWindowSize));
}

}  // namespace

void TeamShares::SetTeams(std::span<const Team> teams) {
  std::map<base::TeamId, Window> former = std::exchange(this->windows, {});
  for (const Team& team : teams) {
    Window& window = this->windows[team.id];
    window = std::move(former[team.id]);
    window.size = WindowSize(team.weight);
    while (window.accepted.size() > window.size) window.accepted.pop_front();
  }
}

bool TeamShares::IsWithin(const base::TeamId& team, base::Instant now) const {
  return team.empty() || this->TimeUntilWithin(team, now).count() == 0;
}

void TeamShares::OnAcceptedWithin(const base::TeamId& team, base::Instant now) {
  const auto found = this->windows.find(team);
  if (found == this->windows.end() || found->second.size == 0) return;
  Window& window = found->second;
  if (window.accepted.size() == window.size) window.accepted.pop_front();
  window.accepted.push_back(now);
}

base::Duration TeamShares::TimeUntilWithin(const base::TeamId& team,
                                           base::Instant now) const {
  const auto found = this->windows.find(team);
  if (found == this->windows.end() || found->second.size == 0) return kWindow;
  const Window& window = found->second;
  if (window.accepted.size() < window.size) return base::Duration(0);
  return std::max(base::Duration(0), window.accepted.front() + kWindow - now);
}

}  // namespace agatepass::pool
