/** \file
 * A random history of a cell: carries out what the planner decides, and checks
 * after each step what must always hold.
 */
#ifndef AGATEPASS_PLACEMENT_TESTS_RANDOM_HISTORY_H_
#define AGATEPASS_PLACEMENT_TESTS_RANDOM_HISTORY_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "agatepass/placement/tests/planner_fixture.h"

namespace agatepass::placement {

/** One step: what is done, and a number that it is done with. */
struct Step {
  uint8_t action = 0;
  uint8_t value = 0;
};

/** Runs steps against a planner; `faults` lists each broken invariant. */
class RandomHistory {
 public:
  explicit RandomHistory(uint64_t seed);

  void Run(const std::vector<Step>& steps);

  /** Ends all running work again and again, and returns how many tasks are
   * still waiting after that. */
  size_t Drain();

  const std::vector<std::string>& faults() const { return this->fault_list; }

  /** All decisions so far as text. */
  const std::string& trace() const { return this->decisions; }

 private:
  struct Running {
    TaskRequest request;
    base::WorkerId worker;
    platform::Resources granted;
  };

  void Submit(uint8_t value);
  void SubmitGang(uint8_t value);
  void Enqueue(const TaskRequest& request);
  void EndOne(uint8_t value, bool succeeded);
  void ReportUse(uint8_t value);
  void CancelOne(uint8_t value);
  void ChangeWorker(uint8_t value);
  void ChangePolicy(uint8_t value);
  void Decide();
  void Carry(const Decision& decision);
  void Check(const std::vector<Decision>& batch);
  void CheckWorker(const std::string& worker);
  void Fail(const std::string& what) { this->fault_list.push_back(what); }

  Planner planner;
  base::Instant now = kStart;
  std::map<std::string, WorkerView> workers;
  std::map<std::string, TaskRequest> waiting;
  std::map<std::string, Running> running;
  std::set<std::string> cancelled;
  int next_task = 0;
  std::string decisions;
  std::vector<std::string> fault_list;
};

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_TESTS_RANDOM_HISTORY_H_
