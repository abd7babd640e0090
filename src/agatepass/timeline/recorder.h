/** \file
 * The bounded store of one host's events.
 */
#ifndef AGATEPASS_TIMELINE_RECORDER_H_
#define AGATEPASS_TIMELINE_RECORDER_H_

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/timeline/event.h"
#include "agatepass/timeline/hybrid_clock.h"

namespace agatepass::timeline {

/** Limits of one recorder; the memory is taken once, at construction. */
struct RecorderLimits {
  /** Events kept at most. */
  size_t events = 65536;
  /** Bytes of text kept at most, over all events. */
  size_t text_bytes = 8 * 1024 * 1024;
};

/** Longest subject and parent in bytes; the rest is cut off. */
inline constexpr size_t kMaxIdentifierBytes = 256;
/** Longest detail in bytes; the rest is cut off. */
inline constexpr size_t kMaxDetailBytes = 8192;

/** What to record; the recorder adds time, host and sequence. The text is
 * copied. */
struct EventRecord {
  EventKind kind = EventKind::kFaultSeen;
  std::string_view subject;
  std::string_view parent;
  base::ResultCode code = base::ResultCode::kOk;
  std::string_view detail;
};

/** Which events to return. An event must satisfy every part. */
struct EventQuery {
  /** Subject or parent; empty for all. */
  std::string id;
  /** First wall time, in microseconds since the Unix epoch. */
  int64_t from_microseconds = std::numeric_limits<int64_t>::min();
  /** First wall time after the window. */
  int64_t to_microseconds = std::numeric_limits<int64_t>::max();
  /** Only events with a higher sequence, for a reader that follows. */
  uint64_t after_sequence = 0;
  /** The newest ones are returned if there are more. */
  size_t limit = 10000;
};

/** Events of one host, oldest first, and how far its records reach. */
struct HostEvents {
  base::HostId host;
  std::vector<Event> events;
  /** Events recorded since the host's start. */
  uint64_t recorded = 0;
  /** Events no longer kept, because newer ones took their place. */
  uint64_t dropped = 0;
  /** Matching events left out because of the limit of the query. */
  uint64_t omitted = 0;
  /** Time of the oldest event kept; zero if there is none. */
  HybridTime oldest;
  /** Why the host gave no answer; empty if it did. */
  std::string fault;
};

/** Keeps the newest events within fixed memory. Recording allocates nothing.
 *
 * Belongs to one task; not safe to share between threads.
 *
 * \code
 * Recorder recorder(base::HostId("uus-a-1"), {});
 * recorder.Record(wall_now, {.kind = EventKind::kAccepted, .subject = "j-7"});
 * HostEvents events = recorder.Find({.id = "j-7"});
 * \endcode
 */
class Recorder {
 public:
  Recorder(base::HostId host, const RecorderLimits& limits);

  /** Records an event now; the oldest make room for it.
   * \return its hybrid time, for a message that tells a peer of it.
   */
  HybridTime Record(base::WallTime now, const EventRecord& record);

  /** Moves the clock past the time of a message that was received. */
  void Observe(HybridTime received, base::WallTime now) {
    this->clock.Observe(received, now);
  }

  /** Returns a hybrid time for a message that is about to be sent. */
  HybridTime Tick(base::WallTime now) { return this->clock.Tick(now); }

  /** Returns the events that `query` asks for. */
  HostEvents Find(const EventQuery& query) const;

  /** Events kept now. */
  size_t size() const { return this->kept; }
  uint64_t recorded() const { return this->next_sequence - 1; }
  uint64_t dropped() const { return this->recorded() - this->kept; }
  /** Memory taken, in bytes. */
  size_t memory_bytes() const;

 private:
  struct Slot {
    HybridTime time;
    uint32_t offset = 0;
    uint16_t subject_bytes = 0;
    uint16_t parent_bytes = 0;
    uint16_t detail_bytes = 0;
    base::ResultCode code = base::ResultCode::kOk;
    EventKind kind = EventKind::kFaultSeen;

    size_t text_bytes() const {
      return size_t{this->subject_bytes} + this->parent_bytes +
             this->detail_bytes;
    }
  };

  const Slot& Oldest() const { return this->SlotAt(0); }
  const Slot& SlotAt(size_t age_rank) const;
  std::string_view Subject(const Slot& slot) const;
  std::string_view Parent(const Slot& slot) const;
  std::string_view Detail(const Slot& slot) const;
  bool Matches(const Slot& slot, const EventQuery& query) const;
  Event MakeEvent(size_t age_rank) const;
  uint32_t TakeText(size_t bytes);
  uint32_t Append(uint32_t offset, std::string_view piece);

  base::HostId host;
  HybridClock clock;
  std::vector<Slot> slots;
  // Text of the slots, in their order, wrapping at the end. The text of one
  // slot is never split, so that it can be viewed in place.
  std::vector<char> text;
  size_t text_head = 0;
  size_t first = 0;
  size_t kept = 0;
  uint64_t next_sequence = 1;
};

}  // namespace agatepass::timeline

#endif  // AGATEPASS_TIMELINE_RECORDER_H_
