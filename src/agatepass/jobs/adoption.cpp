#include "agatepass/jobs/adoption.h"

#include <utility>

#include "agatepass/jobs/record_codec.h"

namespace agatepass::jobs {
namespace {

/** How long a seal keeps the old writer from its next segment. A process that
 * was paused for longer must not go on: see Journal's owner. */
constexpr base::Duration kSealLife = std::chrono::hours(24);

/** A seal segment is written by an adopter, never by the journal's writer. */
constexpr uint64_t kSealWrite = 0;

/** Decodes every entry; nothing if any is malformed. */
std::optional<std::vector<Segment>> DecodeAll(
    const std::vector<platform::StoreEntry>& entries) {
  std::vector<Segment> segments;
  for (const platform::StoreEntry& entry : entries) {
    auto segment = DecodeSegment(entry.value);
    if (!segment.ok()) return std::nullopt;
    segments.push_back(*std::move(segment));
  }
  return segments;
}

platform::StoreCall SealCall(const Segment& segment,
                             platform::Revision expected) {
  platform::StoreCall call;
  call.verb = platform::StoreVerb::kCompareAndSwap;
  call.key = SegmentKey(segment.writer, segment.number);
  call.value = EncodeSegment(segment);
  call.expected = expected;
  if (segment.write == kSealWrite) call.lease = kSealLife;
  return call;
}

}  // namespace

Adoptions::Adoptions(base::Duration first_retry, base::Duration longest_retry,
                     const Incarnation& self, uint64_t seed,
                     CallNumbers& numbers)
    : self(self), numbers(numbers), delay(first_retry, longest_retry, seed) {}

void Adoptions::Begin(const Incarnation& dead) {
  if (dead == this->self || this->sealed.contains(dead)) return;
  this->open.emplace(dead, Step{});
}

void Adoptions::Discard(const Incarnation& dead) {
  Step step;
  step.discard = true;
  this->open[dead] = step;
}

void Adoptions::Poll(base::Instant now, std::vector<NumberedStoreCall>& calls) {
  for (auto& [dead, step] : this->open) {
    if (step.in_flight || now < step.not_before) continue;
    platform::StoreCall call = step.next;
    if (step.read) {
      call = {};
      call.verb = platform::StoreVerb::kList;
      call.key = JournalKeyPrefix(dead);
    }
    if (step.discard) call.call_class = platform::CallClass::kBackground;
    step.in_flight = true;
    const uint64_t call_id = this->numbers.Take();
    this->calls.emplace(call_id, dead);
    calls.push_back({call_id, std::move(call)});
  }
}

std::optional<SealedJournal> Adoptions::OnReply(
    uint64_t call_id, const platform::StoreReply& reply, base::Instant now) {
  const auto node = this->calls.extract(call_id);
  if (node.empty()) return std::nullopt;
  const Incarnation dead = node.mapped();
  Step& step = this->open.at(dead);
  step.in_flight = false;
  const bool answered = reply.outcome == platform::Outcome::kDone ||
                        reply.outcome == platform::Outcome::kRefused;
  if (answered) {
    this->delay.Reset();
  } else {
    step.not_before = now + this->delay.Next();
  }
  if (!step.read || !answered) {
    // Whatever became of the write, the next read shows it.
    step.read = true;
    return std::nullopt;
  }
  auto ended = this->OnListing(dead, step, reply);
  const bool discarded = step.discard && step.read;
  if (ended || discarded) this->open.erase(dead);
  return ended;
}

std::optional<SealedJournal> Adoptions::OnListing(
    const Incarnation& dead, Step& step, const platform::StoreReply& reply) {
  const auto segments = DecodeAll(reply.entries);
  if (!segments) return SealedJournal{dead, std::nullopt, true, {}};
  if (step.discard) {
    PlanDiscard(*segments, reply, step);
    return std::nullopt;
  }
  if (segments->empty()) {
    // Even a host that has journalled nothing may be about to record jobs that
    // it has adopted itself.
    step.next = SealCall({dead, 1, kSealWrite, this->self, {}}, 0);
    step.read = false;
    return std::nullopt;
  }
  Segment tail = segments->back();
  const platform::Revision revision = reply.entries.back().revision;
  if (tail.sealed_by && *tail.sealed_by != this->self &&
      !this->sealed.contains(*tail.sealed_by)) {
    return SealedJournal{dead, tail.sealed_by, false, {}};
  }
  if (tail.sealed_by != this->self) {
    tail.sealed_by = this->self;
    step.next = SealCall(tail, revision);
    step.read = false;
    return std::nullopt;
  }
  if (tail.write != kSealWrite) {
    step.next =
        SealCall({dead, tail.number + 1, kSealWrite, this->self, {}}, 0);
    step.read = false;
    return std::nullopt;
  }
  SealedJournal result{dead, std::nullopt, false, {}};
  for (const Segment& segment : *segments) {
    for (const JournalRecord& record : segment.records) {
      ApplyRecord(record, result.content);
    }
  }
  this->sealed.insert(dead);
  return result;
}

void Adoptions::PlanDiscard(const std::vector<Segment>& segments,
                            const platform::StoreReply& reply, Step& step) {
  if (segments.empty() || segments.front().write == kSealWrite) return;
  step.next = {};
  step.next.verb = platform::StoreVerb::kDelete;
  step.next.key = reply.entries.front().key;
  step.next.expected = reply.entries.front().revision;
  step.read = false;
}

std::optional<base::Instant> Adoptions::NextWake() const {
  std::optional<base::Instant> wake;
  for (const auto& [dead, step] : this->open) {
    if (step.in_flight) continue;
    if (!wake || step.not_before < *wake) wake = step.not_before;
  }
  return wake;
}

}  // namespace agatepass::jobs
