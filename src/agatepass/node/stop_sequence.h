/** \file
 * A planned stop: readiness turns first, then the listening socket closes, what
 * is in flight finishes, workers are given up, and the loop ends.
 */
#ifndef AGATEPASS_NODE_STOP_SEQUENCE_H_
#define AGATEPASS_NODE_STOP_SEQUENCE_H_

#include <functional>
#include <memory>

#include "agatepass/base/event_loop.h"
#include "agatepass/node/host_task.h"

namespace agatepass::node {

/** Runs the stop of one process.
 *
 * \code
 * StopSequence stop(loop, task, settings.stop_deadline);
 * stop.OnStopListening([&] { gate.StopListening(); });
 * stop.WaitFor([&] { return gate.in_flight() == 0; });
 * auto signal = loop.OnSignal(SIGTERM, [&] { stop.Begin(); });
 * \endcode
 */
class StopSequence {
 public:
  /** \param deadline time after which the loop ends whatever is in flight. */
  StopSequence(base::EventLoop& loop, HostTask& task, base::Duration deadline)
      : loop(loop), task(task), deadline(deadline) {}

  /** Called when no new connections are to be taken. */
  void OnStopListening(std::function<void()> handler) {
    this->stop_listening = std::move(handler);
  }

  /** A condition that has to hold before the loop ends. */
  void WaitFor(std::function<bool()> condition) {
    this->is_quiet = std::move(condition);
  }

  /** Begins the stop; a second call ends the loop at once. */
  void Begin();

  /** Whether everything in flight was finished. */
  bool complete() const { return this->is_complete; }

 private:
  void CheckQuiet();

  base::EventLoop& loop;
  HostTask& task;
  base::Duration deadline;
  std::function<void()> stop_listening;
  std::function<bool()> is_quiet;
  std::unique_ptr<base::LoopEvent> listen_timer;
  std::unique_ptr<base::LoopEvent> deadline_timer;
  std::unique_ptr<base::LoopEvent> check_timer;
  bool begun = false;
  bool drained = false;
  bool is_complete = false;
};

}  // namespace agatepass::node

#endif  // AGATEPASS_NODE_STOP_SEQUENCE_H_
