/** \file
 * One libevent loop: timers, signals and messages from other threads.
 */
#ifndef AGATEPASS_BASE_EVENT_LOOP_H_
#define AGATEPASS_BASE_EVENT_LOOP_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "agatepass/base/time.h"
#include "agatepass/base/work_meter.h"

struct event;
struct event_base;
struct timeval;

namespace agatepass::base {

/** Returns a delay as libevent takes it; a negative one as zero. */
timeval ToTimeval(Duration delay);

/** Which events run first when several are due. An event waits for as long as
 * others of a higher priority are due: these must be few, whatever the load. */
enum class EventPriority : uint8_t {
  /** Few and short, and late ones do harm: leases, health checks of peers. */
  kControl,
  /** Accepting connections, and the first request on each. libevent gives all
   * of these the middle priority. */
  kConnection,
  /** All others. */
  kBulk,
};

class EventLoop;

/** A timer or signal handler; destroying it disarms it.
 *
 * It must be destroyed on the loop's thread, and before the loop.
 */
class LoopEvent {
 public:
  LoopEvent(EventLoop& loop, int descriptor, int16_t what,
            std::function<void()> handler);
  ~LoopEvent();
  LoopEvent(const LoopEvent&) = delete;
  LoopEvent& operator=(const LoopEvent&) = delete;

  /** Arms the event to fire after `delay`. */
  void Arm(Duration delay);

  /** Makes the event due at once: before all that are due with a lower
   * priority. */
  void Activate();

  /** Sets its priority, kBulk by default; not while the event is due. */
  void SetPriority(EventPriority priority);

  /** Arms the event with no time limit, as signals need it. */
  void ArmForever();

 private:
  static void Fire(int descriptor, int16_t what, void* self);

  EventLoop& loop;
  std::function<void()> handler;
  event* handle = nullptr;
};

/** An event loop that runs on the thread that calls Run.
 *
 * \code
 * EventLoop loop;
 * auto timer = loop.Every(std::chrono::seconds(1), [&] {
 * task.OnTick(loop.Now()); }); loop.Run(); \endcode
 */
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Runs until Stop is called. */
  void Run();

  /** Runs the handlers that are due now, and returns without waiting. */
  void RunDueHandlers();

  /** Makes Run return after the current handler. Callable from any thread. */
  void Stop();

  /** Makes Run return after the handler that calls this; no other handler runs
   * before. Callable on the loop's thread only. */
  void StopNow();

  /** Runs `message` on the loop's thread. Callable from any thread. */
  void Post(std::function<void()> message);

  /** Runs `handler` once after `delay`, unless the returned event is destroyed
   * before. */
  [[nodiscard]] std::unique_ptr<LoopEvent> After(Duration delay,
                                                 std::function<void()> handler);

  /** Runs `handler` every `period`, until the returned event is destroyed. */
  [[nodiscard]] std::unique_ptr<LoopEvent> Every(
      Duration period, std::function<void()> handler,
      EventPriority priority = EventPriority::kBulk);

  /** Runs `handler` on each arrival of `signal_number`. */
  [[nodiscard]] std::unique_ptr<LoopEvent> OnSignal(
      int signal_number, std::function<void()> handler);

  /** Returns the time now on the monotonic clock. */
  Instant Now() const;

  /** Returns libevent's own handle, for the HTTP classes. */
  event_base* handle() const { return this->base; }

  /** How long the oldest message of Post has waited; zero if none waits.
   * Callable from any thread. */
  Duration OldestMessageAge();

  /** How the loop's time is spent. */
  WorkMeter& work() { return this->work_meter; }

 private:
  void RunMessages();

  event_base* base = nullptr;
  event* wake = nullptr;
  WorkMeter work_meter;
  std::atomic<bool> stopped = false;
  std::mutex mutex;
  struct Message {
    Instant posted_at;
    std::function<void()> run;
  };
  std::deque<Message> messages;
};

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_EVENT_LOOP_H_
