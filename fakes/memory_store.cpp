#include "fakes/memory_store.h"

#include <algorithm>

namespace agatepass::fakes {

static_assert(platform::Store<MemoryStore>);

void MemoryStore::Call(platform::StoreCall call,
                       platform::StoreCallback callback) {
  ++this->call_count;
  this->byte_count += call.key.size() + call.value.size();
  Event event{std::move(call), std::move(callback), std::nullopt, false};
  base::Instant due = this->time + this->one_way;
  if (this->fault == MemoryStoreFault::kDown) {
    event.reply = platform::StoreReply{platform::Outcome::kNotSent, {}, 0};
    due = this->time;
  } else if (this->fault == MemoryStoreFault::kLoseCalls) {
    event.reply = platform::StoreReply{platform::Outcome::kUnknown, {}, 0};
    due = this->time + event.call.timeout;
  } else if (this->fault == MemoryStoreFault::kLoseAnswers) {
    event.lose_answer = true;
  }
  this->events.emplace(due, std::move(event));
}

void MemoryStore::RunUntil(base::Instant now) {
  while (!this->events.empty() && this->events.begin()->first <= now) {
    auto node = this->events.extract(this->events.begin());
    Event event = std::move(node.mapped());
    this->time = std::max(this->time, node.key());
    if (event.reply) {
      event.callback(*std::move(event.reply));
      continue;
    }
    event.reply = this->content.Handle(event.call, this->time);
    base::Instant due = this->time + this->one_way;
    if (event.lose_answer) {
      event.reply = platform::StoreReply{platform::Outcome::kUnknown, {}, 0};
      due = this->time + event.call.timeout;
    }
    this->events.emplace(due, std::move(event));
  }
  this->time = std::max(this->time, now);
}

std::optional<base::Instant> MemoryStore::NextDue() const {
  if (this->events.empty()) return std::nullopt;
  return this->events.begin()->first;
}

}  // namespace agatepass::fakes
