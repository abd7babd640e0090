/** \file
 * The bounded queues of one service, and the early refusal of what cannot
 * finish in time.
 */
#ifndef AGATEPASS_RELAY_ADMISSION_H_
#define AGATEPASS_RELAY_ADMISSION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "agatepass/base/result_code.h"
#include "agatepass/base/time.h"
#include "agatepass/relay/request.h"

namespace agatepass::relay {

/** Number of a request within one relay. */
using RequestNumber = uint64_t;

/** A request that waits for room at an upstream. */
struct WaitingRequest {
  RequestNumber number = 0;
  RequestClass request_class = RequestClass::kInteractive;
  base::Instant deadline;
};

/** What the service can do now, for estimates of waiting time. */
struct ServiceCapacity {
  /** Requests that this entry host may have in flight at all its upstreams. */
  int slots = 0;
  /** Typical time of one request at an upstream; zero if not yet known. */
  base::Duration service_time{0};
  /** Time within which nearly all requests end; a request with less left is not
   * sent, as its outcome would likely stay unknown. */
  base::Duration likely_time{0};
};

/** Why a request does not wait, and when to come back. */
struct Refusal {
  base::ResultCode code = base::ResultCode::kOverloaded;
  base::Duration retry_after{0};
};

/** The requests that wait for one service: a queue for each class.
 *
 * A more pressing class always goes first, so that a bulk request delays an
 * urgent one only by the rest of its own run.
 */
class AdmissionQueue {
 public:
  explicit AdmissionQueue(size_t length) : length(length) {}

  /** Takes a new bound for each class; what waits stays. */
  void SetLength(size_t new_length) { this->length = new_length; }

  /** Lets `request` wait, or refuses it at once because the queue is full or
   * its deadline would pass before it could finish. */
  std::optional<Refusal> Enqueue(const WaitingRequest& request,
                                 const ServiceCapacity& capacity,
                                 base::Instant now);

  /** Lets a request that was admitted before wait again, ahead of its class. */
  void Return(const WaitingRequest& request);

  /** Offers waiting requests to `send`, most pressing and oldest first;
   * those that it takes leave the queue. A class stops at `kMostSkipped`
   * requests that it does not take. */
  void Offer(const std::function<bool(const WaitingRequest&)>& send);

  /** Removes and returns the requests whose deadline can no longer be met. */
  std::vector<WaitingRequest> TakeHopeless(const ServiceCapacity& capacity,
                                           base::Instant now);

  /** Removes and returns everything that waits. */
  std::vector<WaitingRequest> TakeAll();

  /** Expected wait of a new request of `request_class`. */
  base::Duration ExpectedWait(RequestClass request_class,
                              const ServiceCapacity& capacity) const;

  /** Requests that wait. */
  size_t size() const;

 private:
  using Queue = std::deque<WaitingRequest>;

  size_t length;
  std::array<Queue, kRequestClasses> queues;

  static constexpr size_t kMostSkipped = 16;
};

/** Time after which a refused caller may come back, from the expected wait. */
base::Duration RetryAfter(base::Duration expected_wait);

}  // namespace agatepass::relay

#endif  // AGATEPASS_RELAY_ADMISSION_H_
