/** \file
 * The platform's key-value store: its calls, their outcomes, and the concept
 * that the HTTP client and the in-memory stand-in both satisfy.
 */
#ifndef AGATEPASS_PLATFORM_STORE_H_
#define AGATEPASS_PLATFORM_STORE_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "agatepass/base/result_code.h"
#include "agatepass/base/time.h"

namespace agatepass::platform {

/** Number of a change in the store; it rises with each write. 0: no value. */
using Revision = uint64_t;

/** What is known of a call to the platform that has ended. */
enum class Outcome : uint8_t {
  /** The call was carried out. */
  kDone,
  /** The platform evaluated the call and refused it; nothing changed. */
  kRefused,
  /** The call never reached the platform; nothing changed. */
  kNotSent,
  /** No answer came: a write may or may not have taken effect. */
  kUnknown,
};

/** Returns the outcome's name for logs: "done", "refused", "not sent",
 * "unknown". */
std::string_view OutcomeName(Outcome outcome);

/** The one mapping from outcomes of store calls to result codes.
 *
 * \param refusal the code to use where the store evaluated and refused the
 * call.
 */
base::ResultCode StoreResultCode(Outcome outcome, base::ResultCode refusal);

enum class StoreVerb : uint8_t {
  kGet,
  kCompareAndSwap,
  kDelete,
  kList,
  kWatch
};

/** Urgent calls are sent first when the budget of calls is short. */
enum class CallClass : uint8_t { kUrgent, kNormal, kBackground };

/** One call to the store. */
struct StoreCall {
  StoreVerb verb = StoreVerb::kGet;
  /** The key or, for kList, the prefix of keys. */
  std::string key;
  /** The new value of kCompareAndSwap, at most 1 MB. */
  std::string value;
  /** kCompareAndSwap, kDelete: the revision that the key must have, 0 for none.
   * kWatch: wait for a revision above this one. */
  Revision expected = 0;
  /** Life of the key after the write; 0 keeps it for good. */
  base::Duration lease{0};
  /** Time for an answer; for kWatch the longest wait. */
  base::Duration timeout = std::chrono::seconds(2);
  CallClass call_class = CallClass::kNormal;
};

/** One key with its value. */
struct StoreEntry {
  std::string key;
  std::string value;
  Revision revision = 0;
};

/** The end of a StoreCall. */
struct StoreReply {
  Outcome outcome = Outcome::kNotSent;
  /** kGet, kWatch: the entry, with revision 0 if there is none. kList: all
   * entries. kCompareAndSwap: the entry as it is now, also after a refusal. */
  std::vector<StoreEntry> entries;
  /** The store's newest revision when it answered; 0 if unknown. */
  Revision store_revision = 0;
};

using StoreCallback = std::function<void(StoreReply)>;

/** A client of the store. The callback runs once, later; destroying the client
 * drops it. */
template <typename Client>
concept Store = requires(Client& client, StoreCall call,
                         StoreCallback callback) {
  { client.Call(std::move(call), std::move(callback)) } -> std::same_as<void>;
};

}  // namespace agatepass::platform

#endif  // AGATEPASS_PLATFORM_STORE_H_
