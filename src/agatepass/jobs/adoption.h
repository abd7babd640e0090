/** \file
 * Adoption of dead incarnations' journals: seal, read whole, and delete once
 * their jobs are recorded elsewhere.
 */
#ifndef AGATEPASS_JOBS_ADOPTION_H_
#define AGATEPASS_JOBS_ADOPTION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "agatepass/base/time.h"
#include "agatepass/jobs/effects.h"
#include "agatepass/jobs/journal.h"
#include "agatepass/jobs/journal_record.h"
#include "agatepass/jobs/retry_delay.h"

namespace agatepass::jobs {

/** How the sealing of one journal ended. */
struct SealedJournal {
  Incarnation dead;
  /** The incarnation that holds the seal, if it is another one. */
  std::optional<Incarnation> lost_to;
  /** Whether part of the journal could not be read; nothing is taken then. */
  bool malformed = false;
  JournalContent content;
};

/** Seals journals of dead incarnations, step by step.
 *
 * Each step reads the whole journal and does the one thing that is missing:
 * mark the newest segment as sealed, then occupy the next segment's key. After
 * both, the old writer can neither extend the newest segment nor begin another
 * one. A step whose answer was lost is simply followed by the next read.
 *
 * \code
 * adoptions.Begin(dead);
 * adoptions.Poll(now, calls);
 * if (auto sealed = adoptions.OnReply(call_id, reply, now)) { ... }
 * adoptions.Discard(dead);  // once its jobs are recorded elsewhere
 * \endcode
 */
class Adoptions {
 public:
  Adoptions(base::Duration first_retry, base::Duration longest_retry,
            const Incarnation& self, uint64_t seed, CallNumbers& numbers);

  /** Begins to seal the journal of `dead`, unless that is under way. */
  void Begin(const Incarnation& dead);

  /** Deletes the sealed journal, but for the seal. */
  void Discard(const Incarnation& dead);

  /** Appends the calls that are due to `calls`. */
  void Poll(base::Instant now, std::vector<NumberedStoreCall>& calls);

  /** Whether the call is one of these. */
  bool Owns(uint64_t call_id) const { return this->calls.contains(call_id); }

  /** Takes a reply. \return the journal, once it is sealed or lost. */
  std::optional<SealedJournal> OnReply(uint64_t call_id,
                                       const platform::StoreReply& reply,
                                       base::Instant now);

  /** Whether this incarnation holds the seal of `dead`. */
  bool Holds(const Incarnation& dead) const {
    return this->sealed.contains(dead);
  }

  /** When Poll has something to do next. */
  std::optional<base::Instant> NextWake() const;

  /** Whether nothing is left to do. */
  bool idle() const { return this->open.empty(); }

 private:
  struct Step {
    bool discard = false;
    /** Whether the next call is a read of the whole journal. */
    bool read = true;
    platform::StoreCall next;
    base::Instant not_before;
    bool in_flight = false;
  };

  std::optional<SealedJournal> OnListing(const Incarnation& dead, Step& step,
                                         const platform::StoreReply& reply);
  static void PlanDiscard(const std::vector<Segment>& segments,
                          const platform::StoreReply& reply, Step& step);

  Incarnation self;
  CallNumbers& numbers;
  RetryDelay delay;
  std::map<Incarnation, Step> open;
  std::map<uint64_t, Incarnation> calls;
  std::set<Incarnation> sealed;
};

}  // namespace agatepass::jobs

#endif  // AGATEPASS_JOBS_ADOPTION_H_
