// More work is offered than the planner has processor time for: what is urgent
// starts at once, what cannot start in time is rejected, and no backlog stays.
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A planner that needs a millisecond for each answer, offered twice the starts
 * that it can carry, nearly all of them for letters. */
class PlannerSlowerThanItsLoad : public testing::Test {
 protected:
  static constexpr auto kStep = milliseconds(20);
  static constexpr int kLettersPeriod = 5;
  static constexpr int kAlertsPeriod = 3;
  static constexpr int kLettersAtOnce = 8;
  static constexpr uint32_t kTasksOfLetter = 12;
  static constexpr uint32_t kTasksOfAlert = 4;

  void SetUp() override {
    Queue& letters = this->cell.queues.queues[0];
    letters.policy.priority = 2;
    letters.policy.stretch = 3;
    letters.policy.slack = seconds(3);
    letters.policy.advice = AdvicePolicy{.call_duration = milliseconds(1200),
                                         .ticket_lifetime = seconds(2)};
    Queue alerts = letters;
    alerts.name = "alerts";
    alerts.prefix = "/alerts/";
    alerts.policy.priority = 0;
    alerts.policy.stretch = 1.5;
    alerts.policy.slack = milliseconds(400);
    alerts.policy.advice->call_duration = milliseconds(20);
    this->cell.queues.queues.push_back(alerts);
    this->cell.KillPlanners(milliseconds(10));
    this->cell.RunFor(seconds(1));
    this->cell.faults.answer_handling_time = milliseconds(1);
  }

  /** Offers load for a while and records when urgent jobs start. */
  void OfferLoad(base::Duration duration) {
    const base::Instant end = this->cell.now() + duration;
    while (this->cell.now() < end) {
      ++this->steps;
      if (this->steps % kLettersPeriod == 0) this->SubmitLetters();
      if (this->steps % kAlertsPeriod == 0) this->SubmitAlert();
      this->cell.RunFor(kStep);
      this->RecordStarts();
    }
  }

  void SubmitLetters() {
    for (int i = 0; i < kLettersAtOnce; ++i) {
      const std::string id = "letter" + std::to_string(this->letters++);
      this->cell.Submit(
          fakes::MakePoolJob(id, kTasksOfLetter, 100, milliseconds(1000)));
    }
  }

  void SubmitAlert() {
    const std::string id = "alert" + std::to_string(this->alerts++);
    Job job = fakes::MakePoolJob(id, kTasksOfAlert, 100, milliseconds(800));
    job.queue = "alerts";
    this->cell.Submit(job);
    this->waiting_alerts[job.id] = this->cell.now();
  }

  void RecordStarts() {
    std::erase_if(this->waiting_alerts, [this](const auto& entry) {
      if (this->cell.CountStarts({entry.first, 0, 0, 0}) == 0) return false;
      this->waits.push_back(this->cell.now() - entry.second);
      return true;
    });
  }

  /** Returns the wait that nine of ten urgent jobs stay below; those that have
   * not started count with the time until now. */
  base::Duration NinthDecile() {
    for (const auto& [job, since] : this->waiting_alerts) {
      this->waits.push_back(this->cell.now() - since);
    }
    this->waiting_alerts.clear();
    std::sort(this->waits.begin(), this->waits.end());
    return this->waits.at(this->waits.size() * 9 / 10);
  }

  fakes::PoolCell cell{1, 40};
  int steps = 0;
  int letters = 0;
  int alerts = 0;
  std::map<base::JobId, base::Instant> waiting_alerts;
  std::vector<base::Duration> waits;
};

// Urgent jobs waited for a second and more behind queries and starts of others
// that held all places.
TEST_F(PlannerSlowerThanItsLoad, StartsUrgentWorkAtOnce) {
  this->OfferLoad(seconds(8));
  EXPECT_LT(this->NinthDecile(), milliseconds(300));
  EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
}

// Everything was accepted, and the backlog grew for as long as the load lasted.
TEST_F(PlannerSlowerThanItsLoad, RejectsAtOnceWhatItCannotStartInTime) {
  constexpr auto kObjective = seconds(6);
  this->OfferLoad(seconds(16));
  this->cell.RunFor(kObjective);
  EXPECT_EQ(this->cell.UnfinishedJobs().size(), 0U);
  int accepted = 0;
  int rejected = 0;
  for (int i = 0; i < this->letters; ++i) {
    for (const base::ResultCode code :
         this->cell.Answers(base::JobId("letter" + std::to_string(i)))) {
      ++(code == base::ResultCode::kAccepted ? accepted : rejected);
    }
  }
  EXPECT_EQ(accepted + rejected, this->letters) << "each gets its answer";
  EXPECT_GT(accepted, this->letters / 4) << "it is busy with what it can carry";
}

// What a successor inherited late kept all that came after it late, too.
TEST_F(PlannerSlowerThanItsLoad, GetsRidOfAnInheritedBacklog) {
  this->OfferLoad(seconds(4));
  this->cell.KillPlanners(milliseconds(500));
  this->OfferLoad(seconds(4));
  this->waits.clear();
  this->waiting_alerts.clear();
  this->OfferLoad(seconds(6));
  EXPECT_LT(this->NinthDecile(), milliseconds(300));
  this->cell.RunFor(seconds(8));
  EXPECT_EQ(this->cell.UnfinishedJobs().size(), 0U);
  EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
}

}  // namespace
}  // namespace agatepass::pool
