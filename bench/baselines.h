/** \file
 * Simple ways of placement on declared sizes, to compare with.
 *
 * All of them take urgent tasks first and the others in order of arrival, look
 * past tasks that do not fit, and start gangs whole.
 */
#ifndef AGATEPASS_BENCH_BASELINES_H_
#define AGATEPASS_BENCH_BASELINES_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "agatepass/placement/decision.h"
#include "agatepass/placement/task.h"

namespace agatepass::bench {

enum class Baseline : uint8_t { kFirstFit, kBestFit, kWorstFit, kRandomOfTwo };

/** Workers and a queue under one baseline. */
class BaselineScheduler {
 public:
  BaselineScheduler(Baseline rule, size_t workers,
                    const platform::Resources& each)
      : rule(rule), rooms(workers, each), random(1) {}

  void Enqueue(const placement::TaskRequest& request, base::Instant) {
    if (request.kind == placement::WorkloadKind::kGang) {
      auto& members = this->arriving[request.job.value];
      members.push_back(request);
      if (members.size() < request.gang_size) return;
      this->ordinary.push_back(members);
      this->arriving.erase(request.job.value);
      return;
    }
    (request.priority == placement::Priority::kUrgent ? this->urgent
                                                      : this->ordinary)
        .push_back({request});
  }

  std::vector<placement::Decision> Decide(base::Instant) {
    std::vector<placement::Decision> decisions;
    this->Serve(this->urgent, decisions);
    this->Serve(this->ordinary, decisions);
    return decisions;
  }

  void OnEnded(const base::TaskId& task, const platform::Resources&,
               base::Duration, base::Instant) {
    const auto found = this->running.find(task.value);
    this->rooms[found->second.first] += found->second.second;
    this->running.erase(found);
  }

  void OnUsage(const base::WorkerId&, const base::TaskId&,
               const platform::Resources&) {}
  void OnPreempted(const base::TaskId&, base::Instant) {}

 private:
  using Group = std::vector<placement::TaskRequest>;

  // Tasks that do not fit before a round ends.
  static constexpr int kLookPast = 200;

  void Serve(std::deque<Group>& queue,
             std::vector<placement::Decision>& decisions) {
    int misses = 0;
    for (size_t i = 0; i < queue.size() && misses < kLookPast;) {
      if (this->Place(queue[i], decisions)) {
        queue.erase(queue.begin() + static_cast<int64_t>(i));
      } else {
        ++misses;
        ++i;
      }
    }
  }

  bool Place(const Group& group, std::vector<placement::Decision>& decisions) {
    std::vector<size_t> taken;
    for (const placement::TaskRequest& request : group) {
      const auto slot = this->Choose(request.declared);
      if (!slot) {
        for (size_t i = 0; i < taken.size(); ++i) {
          this->rooms[taken[i]] += group[i].declared;
        }
        return false;
      }
      this->rooms[*slot] -= request.declared;
      taken.push_back(*slot);
    }
    for (size_t i = 0; i < group.size(); ++i) {
      this->running[group[i].task.value] = {taken[i], group[i].declared};
      decisions.push_back(
          {.kind = placement::DecisionKind::kPlace,
           .task = group[i].task,
           .worker = base::WorkerId("w" + std::to_string(taken[i])),
           .granted = group[i].declared});
    }
    return true;
  }

  std::optional<size_t> Choose(const platform::Resources& need) {
    if (this->rule == Baseline::kRandomOfTwo) return this->ChooseOfTwo(need);
    std::optional<size_t> best;
    for (size_t slot = 0; slot < this->rooms.size(); ++slot) {
      if (!need.FitsIn(this->rooms[slot])) continue;
      if (this->rule == Baseline::kFirstFit) return slot;
      const int64_t room = this->rooms[slot].millicores;
      const int64_t least = best ? this->rooms[*best].millicores : 0;
      if (!best ||
          (this->rule == Baseline::kBestFit ? room < least : room > least)) {
        best = slot;
      }
    }
    return best;
  }

  std::optional<size_t> ChooseOfTwo(const platform::Resources& need) {
    std::uniform_int_distribution<size_t> any(0, this->rooms.size() - 1);
    const size_t first = any(this->random);
    const size_t second = any(this->random);
    const bool first_fits = need.FitsIn(this->rooms[first]);
    const bool second_fits = need.FitsIn(this->rooms[second]);
    if (!first_fits && !second_fits) return std::nullopt;
    if (!first_fits) return second;
    if (!second_fits) return first;
    return this->rooms[first].millicores > this->rooms[second].millicores
               ? first
               : second;
  }

  Baseline rule;
  std::vector<platform::Resources> rooms;
  std::mt19937_64 random;
  std::deque<Group> urgent;
  std::deque<Group> ordinary;
  std::map<std::string, Group> arriving;
  std::map<std::string, std::pair<size_t, platform::Resources>> running;
};

}  // namespace agatepass::bench

#endif  // AGATEPASS_BENCH_BASELINES_H_
