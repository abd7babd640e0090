// A backlog beside many other events.
#include "agatepass/base/turn_task.h"

#include <chrono>
#include <memory>
#include <vector>

#include "gtest/gtest.h"

namespace agatepass::base {
namespace {

/** Events that are due again as soon as they have been handled. */
class BusyEvents {
 public:
  BusyEvents(EventLoop& loop, int count) {
    for (int i = 0; i < count; ++i) {
      this->events.push_back(
          std::make_unique<LoopEvent>(loop, -1, 0, [this, i] {
            ++this->handled;
            this->events[static_cast<size_t>(i)]->Arm(Duration(0));
          }));
      this->events.back()->Arm(Duration(0));
    }
  }

  int handled = 0;

 private:
  std::vector<std::unique_ptr<LoopEvent>> events;
};

/** Works off steps beside other events.
 * \return how many of these were handled until the last step. */
int RunSteps(int steps, int events, Duration max_turn) {
  EventLoop loop;
  BusyEvents others(loop, events);
  int handled = 0;
  TurnTask task(loop, max_turn, [&] {
    if (--steps > 0) return true;
    handled = others.handled;
    loop.Stop();
    return false;
  });
  task.Schedule();
  loop.Run();
  return handled;
}

// Callers' calls were handled eight at a time while all workers' answers were
// handled in between: they waited for seconds while no event was late.
TEST(TurnTask, ABacklogDoesNotWaitForAllOtherEventsAfterEachFewSteps) {
  constexpr int kEvents = 200;
  EXPECT_LE(RunSteps(400, kEvents, std::chrono::seconds(5)), 3 * kEvents);
}

TEST(TurnTask, ATurnEndsWhenItsTimeIsUsedUp) {
  EXPECT_GE(RunSteps(3, 1, Duration(0)), 2);
}

TEST(TurnTask, ItRunsAgainForWhatIsAddedLater) {
  EventLoop loop;
  int runs = 0;
  TurnTask task(loop, std::chrono::seconds(5), [&] {
    ++runs;
    return false;
  });
  task.Schedule();
  task.Schedule();
  for (int i = 0; i < 10; ++i) loop.RunDueHandlers();
  EXPECT_EQ(runs, 1);
  task.Schedule();
  for (int i = 0; i < 10; ++i) loop.RunDueHandlers();
  EXPECT_EQ(runs, 2);
}

}  // namespace
}  // namespace agatepass::base
