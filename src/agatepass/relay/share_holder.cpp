#include "agatepass/relay/share_holder.h"

#include <algorithm>

namespace agatepass::relay {

void ShareHolder::OnView(const ShareView& view, base::Instant now) {
  if (view.number <= this->newest_view()) return;
  // In a view that was missed, this host may have departed, and the others may
  // have taken all its slots but one.
  if (view.number != this->newest_view() + 1) this->missed_view = true;
  this->views.push_back(view);
  // What was settled or about to settle for an older view must start again.
  this->settles_at.reset();
  this->OnTick(now);
}

void ShareHolder::OnContact(uint64_t view_number, base::Instant asked_at) {
  if (view_number != this->newest_view()) return;
  const base::Instant lapse = asked_at + this->times.lease;
  if (!this->lapses_at || lapse > *this->lapses_at) this->lapses_at = lapse;
}

void ShareHolder::OnReport(const ShareReport& report, base::Instant now) {
  uint64_t& kept = this->kept_by[report.host];
  kept = std::max(kept, report.kept_view);
  if (report.settled_view != 0 && report.settled_view == this->newest_view())
    this->Settle();
  this->OnTick(now);
}

void ShareHolder::OnInFlight(bool within_newest, base::Instant now) {
  if (!within_newest || this->views.empty()) return;
  this->kept_view = this->newest_view();
  this->kept_by[this->self] = this->kept_view;
  this->OnTick(now);
}

int ShareHolder::SlotsOf(const base::UpstreamId& upstream, int slots,
                         base::Instant now) const {
  if (!this->has_settled) return 0;
  int least = slots;
  for (const ShareView& view : this->views)
    least = std::min(least, SlotsUnder(view, this->self, upstream, slots));
  return this->renewed(now) && !this->missed_view ? least : std::min(least, 1);
}

int ShareHolder::TargetOf(const base::UpstreamId& upstream, int slots) const {
  if (this->views.empty()) return 0;
  return SlotsUnder(this->views.back(), this->self, upstream, slots);
}

std::vector<UpstreamShare> ShareHolder::SharesOf(
    std::span<const base::UpstreamId> upstreams, int slots, int connections,
    base::Instant now) const {
  std::vector<UpstreamShare> shares;
  for (const base::UpstreamId& upstream : upstreams) {
    const int share = this->SlotsOf(upstream, slots, now);
    shares.push_back({upstream, share, share * connections / slots});
  }
  return shares;
}

ShareReport ShareHolder::Report() const {
  return {this->self, this->kept_view,
          this->has_settled ? this->views.front().number : 0};
}

void ShareHolder::OnTick(base::Instant now) {
  if (this->views.empty() || !this->AllKeepTo(this->views.back())) return;
  if (this->has_settled && this->views.size() == 1) return;
  if (!this->settles_at) {
    this->settles_at =
        this->NeedsHandOver() ? now + this->times.hand_over() : now;
  }
  if (now >= *this->settles_at) this->Settle();
}

void ShareHolder::Settle() {
  this->views = {this->views.back()};
  this->has_settled = true;
  this->missed_view = false;
  this->settles_at.reset();
}

bool ShareHolder::NeedsHandOver() const {
  const ShareView& newest = this->views.back();
  // The first view of all has nobody before it.
  if (newest.number == 1) return false;
  if (!this->has_settled) return true;
  const std::vector<DepartedHost>& before = this->views.front().departed;
  return std::any_of(newest.departed.begin(), newest.departed.end(),
                     [&](const DepartedHost& entry) {
                       return std::find(before.begin(), before.end(), entry) ==
                              before.end();
                     });
}

bool ShareHolder::AllKeepTo(const ShareView& view) const {
  // A host that skipped this view for a newer one has never shrunk to it.
  return std::all_of(
      view.members.begin(), view.members.end(), [&](const base::HostId& host) {
        const auto entry = this->kept_by.find(host);
        return entry != this->kept_by.end() && entry->second == view.number;
      });
}

}  // namespace agatepass::relay
