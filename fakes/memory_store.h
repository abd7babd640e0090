/** \file
 * The platform's store in memory and in virtual time, with faults to switch on.
 */
#ifndef FAKES_MEMORY_STORE_H_
#define FAKES_MEMORY_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "agatepass/base/time.h"
#include "agatepass/platform/store.h"
#include "fakes/store_model.h"

namespace agatepass::fakes {

/** What happens to the calls that arrive from now on. */
enum class MemoryStoreFault : uint8_t {
  kNone,
  /** No call reaches the store: kNotSent at once. */
  kDown,
  /** Calls get lost on the way: kUnknown after the timeout, no effect. */
  kLoseCalls,
  /** Calls take effect, and their answers are lost: kUnknown. */
  kLoseAnswers,
};

/** A store whose answers are due at points in virtual time.
 *
 * It satisfies platform::Store.
 * \code
 * MemoryStore store;
 * store.Call(call, callback);
 * store.RunUntil(now);
 * \endcode
 */
class MemoryStore {
 public:
  /** Takes a call; its callback runs from RunUntil. */
  void Call(platform::StoreCall call, platform::StoreCallback callback);

  /** Delivers what is due up to `now`, in order of time. */
  void RunUntil(base::Instant now);

  /** When the next answer is due. */
  std::optional<base::Instant> NextDue() const;

  void SetFault(MemoryStoreFault fault) { this->fault = fault; }

  /** Sets the time from a call to its effect and the same again to its answer.
   */
  void SetLatency(base::Duration one_way) { this->one_way = one_way; }

  /** The content; assigning to it brings another store back. */
  StoreModel& model() { return this->content; }

  uint64_t calls() const { return this->call_count; }

  /** Bytes of keys and values sent so far. */
  uint64_t bytes() const { return this->byte_count; }

 private:
  struct Event {
    platform::StoreCall call;
    platform::StoreCallback callback;
    std::optional<platform::StoreReply> reply;
    bool lose_answer = false;
  };

  StoreModel content;
  MemoryStoreFault fault = MemoryStoreFault::kNone;
  base::Duration one_way{0};
  base::Instant time;
  std::multimap<base::Instant, Event> events;
  uint64_t call_count = 0;
  uint64_t byte_count = 0;
};

}  // namespace agatepass::fakes

#endif  // FAKES_MEMORY_STORE_H_
