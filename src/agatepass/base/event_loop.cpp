#include "agatepass/base/event_loop.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <algorithm>
#include <utility>

namespace agatepass::base {

namespace {

constexpr int64_t kMicrosecondsPerSecond = 1'000'000;

/** Handlers of bulk events that run, at most, before the loop looks for control
 * events, and the time after which it looks for them anyway. */
constexpr int kMaxBulkHandlers = 128;
constexpr Duration kMaxBulkTime = std::chrono::milliseconds(10);

/** Messages that run in one turn. */
constexpr size_t kMaxMessagesAtOnce = 8;

/** Number of values of EventPriority; events without one get the middle. */
constexpr int kPriorities = 3;

}  // namespace

timeval ToTimeval(Duration delay) {
  const int64_t microseconds = std::max<int64_t>(delay.count(), 0);
  timeval result;
  result.tv_sec = microseconds / kMicrosecondsPerSecond;
  result.tv_usec = microseconds % kMicrosecondsPerSecond;
  return result;
}

LoopEvent::LoopEvent(EventLoop& loop, int descriptor, int16_t what,
                     std::function<void()> handler)
    : loop(loop), handler(std::move(handler)) {
  this->handle =
      event_new(loop.handle(), descriptor, what, &LoopEvent::Fire, this);
  this->SetPriority(EventPriority::kBulk);
}

LoopEvent::~LoopEvent() { event_free(this->handle); }

void LoopEvent::Arm(Duration delay) {
  const timeval interval = ToTimeval(delay);
  event_add(this->handle, &interval);
}

void LoopEvent::Activate() { event_active(this->handle, EV_TIMEOUT, 0); }

void LoopEvent::SetPriority(EventPriority priority) {
  event_priority_set(this->handle, static_cast<int>(priority));
}

void LoopEvent::ArmForever() { event_add(this->handle, nullptr); }

void LoopEvent::Fire(int /*descriptor*/, int16_t /*what*/, void* self) {
  // A copy, because the handler may destroy the event that it belongs to.
  auto* event = static_cast<LoopEvent*>(self);
  event->loop.work().OnEvent(event->loop.Now());
  const std::function<void()> handler = event->handler;
  handler();
}

EventLoop::EventLoop() {
  evthread_use_pthreads();
  // Requests and answers in turn change what a connection waits for several
  // times between two polls: only the last change needs a system call. No
  // descriptor is duplicated, which this option does not allow.
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  const timeval interval = ToTimeval(kMaxBulkTime);
  event_config_set_max_dispatch_interval(
      config, &interval, kMaxBulkHandlers,
      static_cast<int>(EventPriority::kBulk));
  this->base = event_base_new_with_config(config);
  event_config_free(config);
  event_base_priority_init(this->base, kPriorities);
  this->wake = event_new(
      this->base, -1, EV_PERSIST,
      [](evutil_socket_t, int16_t, void* self) {
        auto* loop = static_cast<EventLoop*>(self);
        loop->work().OnEvent(loop->Now());
        loop->RunMessages();
      },
      this);
  event_priority_set(this->wake, static_cast<int>(EventPriority::kBulk));
  event_add(this->wake, nullptr);
}

EventLoop::~EventLoop() {
  event_free(this->wake);
  event_base_free(this->base);
}

void EventLoop::Run() {
  this->stopped = false;
  while (!this->stopped) {
    // Waits at its beginning only, and returns once nothing is due.
    this->work_meter.OnWait(this->Now());
    event_base_loop(this->base, EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
  }
}

void EventLoop::RunDueHandlers() {
  event_base_loop(this->base, EVLOOP_NONBLOCK);
}

void EventLoop::Stop() {
  this->Post([this] { this->StopNow(); });
}

void EventLoop::StopNow() {
  this->stopped = true;
  event_base_loopbreak(this->base);
}

void EventLoop::Post(std::function<void()> message) {
  {
    const std::lock_guard lock(this->mutex);
    this->messages.push_back({this->Now(), std::move(message)});
  }
  event_active(this->wake, EV_READ, 0);
}

std::unique_ptr<LoopEvent> EventLoop::After(Duration delay,
                                            std::function<void()> handler) {
  auto timer = std::make_unique<LoopEvent>(*this, -1, 0, std::move(handler));
  timer->Arm(delay);
  return timer;
}

std::unique_ptr<LoopEvent> EventLoop::Every(Duration period,
                                            std::function<void()> handler,
                                            EventPriority priority) {
  auto timer =
      std::make_unique<LoopEvent>(*this, -1, EV_PERSIST, std::move(handler));
  timer->SetPriority(priority);
  timer->Arm(period);
  return timer;
}

std::unique_ptr<LoopEvent> EventLoop::OnSignal(int signal_number,
                                               std::function<void()> handler) {
  auto watcher = std::make_unique<LoopEvent>(
      *this, signal_number, EV_SIGNAL | EV_PERSIST, std::move(handler));
  watcher->ArmForever();
  return watcher;
}

Instant EventLoop::Now() const { return MonotonicClock::now(); }

Duration EventLoop::OldestMessageAge() {
  const std::lock_guard lock(this->mutex);
  if (this->messages.empty()) return Duration(0);
  return this->Now() - this->messages.front().posted_at;
}

void EventLoop::RunMessages() {
  std::vector<std::function<void()>> due;
  {
    const std::lock_guard lock(this->mutex);
    while (!this->messages.empty() && due.size() < kMaxMessagesAtOnce) {
      due.push_back(std::move(this->messages.front().run));
      this->messages.pop_front();
    }
    // The others wait for their next turn, behind what is due by now.
    if (!this->messages.empty()) event_active(this->wake, EV_READ, 0);
  }
  for (const std::function<void()>& message : due) message();
}

}  // namespace agatepass::base
