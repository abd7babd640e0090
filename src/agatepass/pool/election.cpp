#include "agatepass/pool/election.h"

#include <utility>

#include "agatepass/base/text.h"
#include "fmt/format.h"

namespace agatepass::pool {

std::string EncodePlannerEntry(const PlannerEntry& entry) {
  return fmt::format("{} {} {}", entry.host.value, entry.endpoint.ToString(),
                     entry.incarnation);
}

std::optional<PlannerEntry> DecodePlannerEntry(std::string_view text) {
  const auto parts = base::SplitList(text, ' ');
  if (parts.size() != 3) return std::nullopt;
  const auto endpoint = base::ParseEndpoint(parts[1]);
  if (!endpoint) return std::nullopt;
  return PlannerEntry{base::HostId(parts[0]), *endpoint, std::string(parts[2])};
}

void Election::OnPlannerSeen(std::optional<PlannerEntry> planner,
                             platform::Revision revision, base::Instant now) {
  // A read that is older than what is known already.
  if (revision != 0 && revision < this->seen_revision) return;
  if (revision > this->seen_revision || !planner) this->lost_since.reset();
  if (revision != 0) this->seen_revision = revision;
  this->seen = std::move(planner);
  if (this->seen) {
    this->vacant_since.reset();
  } else if (!this->vacant_since) {
    this->vacant_since = now;
  }
  const bool mine = this->seen && *this->seen == this->options.self;
  if (this->in_office() && !mine && revision != this->fence) this->Resign();
}

bool Election::OnPlannerLost(platform::Revision revision, base::Instant now) {
  if (this->in_office() || !this->seen || this->lost_since) return false;
  if (revision != this->seen_revision) return false;
  this->lost_since = now;
  return true;
}

ElectionStep Election::Next(base::Instant now) {
  if (this->waiting || now < this->next_step) return ElectionStep::kNothing;
  if (this->ending) {
    this->waiting = true;
    return ElectionStep::kEndLease;
  }
  if (this->in_office()) {
    if (now < this->next_renewal) return ElectionStep::kNothing;
    this->waiting = true;
    return ElectionStep::kRenewLease;
  }
  if (this->create_unknown) {
    this->waiting = true;
    return ElectionStep::kReadKey;
  }
  if (this->IsOwnPast()) {
    this->waiting = true;
    return ElectionStep::kRemoveKey;
  }
  if (this->withdrawn || now < this->stands_from) return ElectionStep::kNothing;
  const auto& since =
      this->vacant_since ? this->vacant_since : this->lost_since;
  if (!since || now < *since + this->options.stand_delay) {
    return ElectionStep::kNothing;
  }
  this->waiting = true;
  if (this->lease == 0) return ElectionStep::kGrantLease;
  this->replacing = !this->vacant_since;
  return this->replacing ? ElectionStep::kReplaceKey : ElectionStep::kCreateKey;
}

void Election::OnLeaseGranted(platform::Outcome outcome, uint64_t id,
                              base::Instant now) {
  this->waiting = false;
  if (outcome == platform::Outcome::kDone) {
    this->lease = id;
  } else {
    this->next_step = now + this->options.retry;
  }
}

void Election::OnKeyCreated(platform::Outcome outcome,
                            platform::Revision revision, base::Instant now) {
  this->waiting = false;
  switch (outcome) {
    case platform::Outcome::kDone:
      this->TakeOffice(revision, now);
      break;
    case platform::Outcome::kUnknown:
      this->create_unknown = true;
      this->next_step = now + this->options.retry;
      break;
    case platform::Outcome::kRefused:
      // Another host was first, or the lease has ended.
      this->lease = 0;
      if (this->replacing) {
        this->lost_since.reset();
      } else {
        this->vacant_since = now;
      }
      this->next_step = now + this->options.retry;
      break;
    case platform::Outcome::kNotSent:
      this->next_step = now + this->options.retry;
      break;
  }
}

void Election::OnKeyRead(platform::Outcome outcome,
                         std::optional<PlannerEntry> planner,
                         platform::Revision revision, base::Instant now) {
  this->waiting = false;
  if (outcome != platform::Outcome::kDone) {
    this->next_step = now + this->options.retry;
    return;
  }
  this->create_unknown = false;
  if (planner && *planner == this->options.self) {
    this->TakeOffice(revision, now);
    return;
  }
  // The create may still be done later; without its lease it does nothing.
  this->ending = this->lease != 0;
  this->OnPlannerSeen(std::move(planner), revision, now);
}

void Election::OnKeyRemoved(platform::Outcome outcome, base::Instant now) {
  this->waiting = false;
  if (outcome == platform::Outcome::kDone) {
    this->OnPlannerSeen(std::nullopt, 0, now);
  } else {
    this->next_step = now + this->options.retry;
  }
}

void Election::OnLeaseRenewed(platform::Outcome outcome, base::Instant now) {
  this->waiting = false;
  this->next_renewal = now + this->options.renew_period;
  if (outcome == platform::Outcome::kRefused) {
    this->lease = 0;
    this->fence = 0;
    this->next_step = now + this->options.retry;
  }
}

void Election::OnLeaseEnded() {
  this->waiting = false;
  this->ending = false;
  this->lease = 0;
}

void Election::Resign() {
  this->fence = 0;
  this->ending = this->lease != 0;
}

void Election::TakeOffice(platform::Revision revision, base::Instant now) {
  this->fence = revision;
  this->seen = this->options.self;
  this->seen_revision = revision;
  this->vacant_since.reset();
  this->lost_since.reset();
  // The lease may have been granted a while ago.
  this->next_renewal = now;
}

}  // namespace agatepass::pool
