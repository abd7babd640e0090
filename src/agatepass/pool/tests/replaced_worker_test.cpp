// A worker at whose address another one answers has no runs.
#include "agatepass/pool/tests/planner_fixture.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ReplacedWorker : public PlannerFixture {};

// A next planner cannot ask a worker that is not listed any more: it waits
// until all leases of the roster have expired.
TEST_F(ReplacedWorker, LeavesTheRosterAtOnce) {
  this->Load();
  this->ListWorker("w1", 1);
  this->StartOnW0(1);
  ASSERT_NE(this->roster.find("w0"), std::string::npos);
  this->planner.OnSync(this->TakeSync("w0"),
                       {.result = WorkerCallResult::kOtherIncarnation},
                       this->time);
  this->RunFor(milliseconds(100));
  EXPECT_EQ(this->roster.find("w0"), std::string::npos) << this->roster;
  EXPECT_NE(this->roster.find("w1"), std::string::npos);
}

TEST_F(ReplacedWorker, IsInTheRosterAgainOnceItIsListedAgain) {
  this->Load();
  this->StartOnW0(1);
  this->planner.OnSync(this->TakeSync("w0"),
                       {.result = WorkerCallResult::kOtherIncarnation},
                       this->time);
  this->RunFor(milliseconds(100));
  this->ListWorker("w0", 2);
  this->RunFor(seconds(1));
  EXPECT_NE(this->roster.find("w0"), std::string::npos);
}

}  // namespace
}  // namespace agatepass::pool
