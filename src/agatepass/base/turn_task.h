/** \file
 * Works off a backlog on an event loop in turns of a bounded time, beside all
 * other events.
 */
#ifndef AGATEPASS_BASE_TURN_TASK_H_
#define AGATEPASS_BASE_TURN_TASK_H_

#include <functional>
#include <memory>
#include <utility>

#include "agatepass/base/event_loop.h"
#include "agatepass/base/time.h"

namespace agatepass::base {

/** Runs a step again and again while there is more to do. The backlog gets a
 * share of the loop's time that does not shrink when more other events are due,
 * as it would with one message for each step.
 *
 * \code
 * TurnTask task(loop, milliseconds(5), [&] { return HandleNext(); });
 * task.Schedule();  // After each addition to the backlog.
 * \endcode
 */
class TurnTask {
 public:
  /** \param max_time time after which a turn ends, and the next one comes
   *     behind what is due by then.
   * \param step does the next piece of work; returns whether there is more. */
  TurnTask(EventLoop& loop, Duration max_time, std::function<bool()> step)
      : loop(loop), max_time(max_time), step(std::move(step)) {
    this->turn =
        std::make_unique<LoopEvent>(loop, -1, 0, [this] { this->RunTurn(); });
  }

  /** Has a turn run soon, once however often this is called. */
  void Schedule() {
    if (!std::exchange(this->scheduled, true)) this->turn->Arm(Duration(0));
  }

 private:
  void RunTurn() {
    this->scheduled = false;
    const Instant turn_ends = this->loop.Now() + this->max_time;
    while (this->step()) {
      if (this->loop.Now() < turn_ends) continue;
      this->Schedule();
      return;
    }
  }

  EventLoop& loop;
  Duration max_time;
  std::function<bool()> step;
  std::unique_ptr<LoopEvent> turn;
  bool scheduled = false;
};

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_TURN_TASK_H_
