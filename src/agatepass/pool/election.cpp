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

void Election::OnPlannerObserved(std::optional<PlannerEntry> planner,
                                 platform::Revision revision,
                                 base::Instant now) {
  // Ignores a read that is older than the known state.
  if (revision != 0 && revision < this->observed_revision) return;
  if (revision > this->observed_revision || !planner) this->lost_since.reset();
  if (revision != 0) this->observed_revision = revision;
  this->observed_planner = std::move(planner);
  if (this->observed_planner) {
    this->no_planner_since.reset();
  } else if (!this->no_planner_since) {
    this->no_planner_since = now;
  }
  const bool is_self =
      this->observed_planner && *this->observed_planner == this->options.self;
  if (this->is_leader() && !is_self && revision != this->fence)
    this->StepDown();
}

bool Election::OnPlannerLost(platform::Revision revision, base::Instant now) {
  if (this->is_leader() || !this->observed_planner || this->lost_since)
    return false;
  if (revision != this->observed_revision) return false;
  this->lost_since = now;
  return true;
}

ElectionStep Election::Next(base::Instant now) {
  if (this->awaiting_answer || now < this->next_step_at)
    return ElectionStep::kNothing;
  if (this->lease_revocation_pending) {
    this->awaiting_answer = true;
    return ElectionStep::kRevokeLease;
  }
  if (this->is_leader()) {
    if (now < this->next_renewal_at) return ElectionStep::kNothing;
    this->awaiting_answer = true;
    return ElectionStep::kRenewLease;
  }
  if (this->key_write_outcome_unknown) {
    this->awaiting_answer = true;
    return ElectionStep::kReadKey;
  }
  if (this->IsOwnEarlierIncarnation()) {
    this->awaiting_answer = true;
    return ElectionStep::kRemoveKey;
  }
  if (this->candidacy_disabled || now < this->candidacy_blocked_until)
    return ElectionStep::kNothing;
  const auto& missing_since =
      this->no_planner_since ? this->no_planner_since : this->lost_since;
  if (!missing_since || now < *missing_since + this->options.candidacy_delay) {
    return ElectionStep::kNothing;
  }
  this->awaiting_answer = true;
  if (this->lease == 0) return ElectionStep::kGrantLease;
  this->replacing_key = !this->no_planner_since;
  return this->replacing_key ? ElectionStep::kReplaceKey
                             : ElectionStep::kCreateKey;
}

void Election::OnGrantLeaseResult(platform::Outcome outcome,
                                  uint64_t granted_lease, base::Instant now) {
  this->awaiting_answer = false;
  if (outcome == platform::Outcome::kDone) {
    this->lease = granted_lease;
  } else {
    this->next_step_at = now + this->options.retry_delay;
  }
}

void Election::OnKeyWriteResult(platform::Outcome outcome,
                                platform::Revision revision,
                                base::Instant now) {
  this->awaiting_answer = false;
  switch (outcome) {
    case platform::Outcome::kDone:
      this->BecomeLeader(revision, now);
      break;
    case platform::Outcome::kUnknown:
      this->key_write_outcome_unknown = true;
      this->next_step_at = now + this->options.retry_delay;
      break;
    case platform::Outcome::kRefused:
      // Another host has written the key first, or the lease has expired.
      this->lease = 0;
      if (this->replacing_key) {
        this->lost_since.reset();
      } else {
        this->no_planner_since = now;
      }
      this->next_step_at = now + this->options.retry_delay;
      break;
    case platform::Outcome::kNotSent:
      this->next_step_at = now + this->options.retry_delay;
      break;
  }
}

void Election::OnKeyRead(platform::Outcome outcome,
                         std::optional<PlannerEntry> planner,
                         platform::Revision revision, base::Instant now) {
  this->awaiting_answer = false;
  if (outcome != platform::Outcome::kDone) {
    this->next_step_at = now + this->options.retry_delay;
    return;
  }
  this->key_write_outcome_unknown = false;
  if (planner && *planner == this->options.self) {
    this->BecomeLeader(revision, now);
    return;
  }
  // The unanswered write may still reach the store; once its lease is revoked
  // it has no effect.
  this->lease_revocation_pending = this->lease != 0;
  this->OnPlannerObserved(std::move(planner), revision, now);
}

void Election::OnRemoveKeyResult(platform::Outcome outcome, base::Instant now) {
  this->awaiting_answer = false;
  if (outcome == platform::Outcome::kDone) {
    this->OnPlannerObserved(std::nullopt, 0, now);
  } else {
    this->next_step_at = now + this->options.retry_delay;
  }
}

void Election::OnRenewLeaseResult(platform::Outcome outcome,
                                  base::Instant now) {
  this->awaiting_answer = false;
  this->next_renewal_at = now + this->options.renew_period;
  if (outcome == platform::Outcome::kRefused) {
    this->lease = 0;
    this->fence = 0;
    this->next_step_at = now + this->options.retry_delay;
  }
}

void Election::OnLeaseRevoked() {
  this->awaiting_answer = false;
  this->lease_revocation_pending = false;
  this->lease = 0;
}

void Election::StepDown() {
  this->fence = 0;
  this->lease_revocation_pending = this->lease != 0;
}

void Election::BecomeLeader(platform::Revision revision, base::Instant now) {
  this->fence = revision;
  this->observed_planner = this->options.self;
  this->observed_revision = revision;
  this->no_planner_since.reset();
  this->lost_since.reset();
  // Renews immediately, as the lease may have been granted some time ago.
  this->next_renewal_at = now;
}

}  // namespace agatepass::pool
