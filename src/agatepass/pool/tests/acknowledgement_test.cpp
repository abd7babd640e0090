// Acknowledgements of ends.
#include "agatepass/pool/tests/planner_fixture.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;

class Acknowledgement : public PlannerFixture {};

TEST_F(Acknowledgement, NeedsNoCommitForEndsThatChangeNothing) {
  // After a takeover a worker may list many ends whose effect an earlier
  // planner has stored. Nothing is left to store for them.
  this->Load({}, {"w0"});
  this->ListWorker("w0", 1);
  this->RunFor(milliseconds(100));
  this->AnswerSync(this->TakeSync("w0"), 1, {},
                   {{1, {base::JobId("x"), 0, 0, 0}, 1, RunEnd::kStopped, ""}});
  this->RunFor(milliseconds(600));
  EXPECT_EQ(this->TakeSync("w0").acknowledged_up_to, 1U);
}

}  // namespace
}  // namespace agatepass::pool
