#include "agatepass/relay/admission.h"

#include <algorithm>

namespace agatepass::relay {

namespace {

constexpr base::Duration kShortestRetryAfter = std::chrono::seconds(1);
constexpr base::Duration kLongestRetryAfter = std::chrono::seconds(30);

}  // namespace

base::Duration RetryAfter(base::Duration expected_wait) {
  return std::clamp(expected_wait, kShortestRetryAfter, kLongestRetryAfter);
}

std::optional<Refusal> AdmissionQueue::Enqueue(const WaitingRequest& request,
                                               const ServiceCapacity& capacity,
                                               base::Instant now) {
  Queue& queue = this->queues[static_cast<size_t>(request.request_class)];
  const base::Duration wait =
      this->ExpectedWait(request.request_class, capacity);
  if (now + capacity.likely_time >= request.deadline)
    return Refusal{base::ResultCode::kDeadlineTooShort, RetryAfter(wait)};
  if (queue.size() >= this->length ||
      now + wait + capacity.likely_time >= request.deadline)
    return Refusal{base::ResultCode::kOverloaded, RetryAfter(wait)};
  queue.push_back(request);
  return std::nullopt;
}

void AdmissionQueue::Return(const WaitingRequest& request) {
  this->queues[static_cast<size_t>(request.request_class)].push_front(request);
}

void AdmissionQueue::Offer(
    const std::function<bool(const WaitingRequest&)>& send) {
  for (Queue& queue : this->queues) {
    size_t skipped = 0;
    for (size_t i = 0; i < queue.size() && skipped < kMostSkipped;) {
      if (send(queue[i])) {
        queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
      } else {
        ++i;
        ++skipped;
      }
    }
  }
}

std::vector<WaitingRequest> AdmissionQueue::TakeHopeless(
    const ServiceCapacity& capacity, base::Instant now) {
  std::vector<WaitingRequest> hopeless;
  int64_t ahead = 0;
  for (Queue& queue : this->queues) {
    Queue kept;
    for (const WaitingRequest& request : queue) {
      const base::Duration wait =
          capacity.service_time * ahead / std::max(capacity.slots, 1);
      if (now + wait + capacity.likely_time >= request.deadline) {
        hopeless.push_back(request);
      } else {
        kept.push_back(request);
        ++ahead;
      }
    }
    if (kept.size() != queue.size()) queue = std::move(kept);
  }
  return hopeless;
}

std::vector<WaitingRequest> AdmissionQueue::TakeAll() {
  std::vector<WaitingRequest> all;
  for (Queue& queue : this->queues) {
    all.insert(all.end(), queue.begin(), queue.end());
    queue.clear();
  }
  return all;
}

base::Duration AdmissionQueue::ExpectedWait(
    RequestClass request_class, const ServiceCapacity& capacity) const {
  if (capacity.slots <= 0) return base::Duration(0);
  size_t ahead = 0;
  for (size_t i = 0; i <= static_cast<size_t>(request_class); ++i)
    ahead += this->queues[i].size();
  return capacity.service_time * static_cast<int64_t>(ahead) / capacity.slots;
}

size_t AdmissionQueue::size() const {
  size_t sum = 0;
  for (const Queue& queue : this->queues) sum += queue.size();
  return sum;
}

}  // namespace agatepass::relay
