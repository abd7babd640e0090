/** \file
 * Choice of the best worker among a few that fit, by a score that depends on
 * the kind of workload.
 */
#ifndef AGATEPASS_PLACEMENT_WORKER_CHOICE_H_
#define AGATEPASS_PLACEMENT_WORKER_CHOICE_H_

#include <array>
#include <cmath>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "agatepass/placement/cell.h"
#include "agatepass/placement/policy.h"

namespace agatepass::placement {

/** Gives a worker a score for a need; the lowest is the best. */
template <typename Score>
concept PlacementScore = requires(const Score& score, const Worker& worker,
                                  const PlacementNeed& need) {
  { score(worker, need) } -> std::convertible_to<double>;
  { Score::kPerClass } -> std::convertible_to<size_t>;
  { Score::kCandidates } -> std::convertible_to<size_t>;
};

/** Returns `part` of `whole`, 0 if there is no whole. */
inline double Fraction(int64_t part, int64_t whole) {
  return whole <= 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

/** For work that fills room: least left over, and evenly. */
struct PackingScore {
  static constexpr size_t kPerClass = 2;
  static constexpr size_t kCandidates = 16;

  ScoreWeights weights;

  double operator()(const Worker& worker, const PlacementNeed& need) const {
    const platform::Resources& total = worker.view.total;
    const platform::Resources left = worker.Room() - need.room;
    const double processors = Fraction(left.millicores, total.millicores);
    const double memory = Fraction(left.memory_mib, total.memory_mib);
    const double accelerators = Fraction(left.accelerators, total.accelerators);
    return this->weights.packing * (processors + memory + accelerators) +
           this->weights.balance * std::abs(processors - memory);
  }
};

/** For services: racks and data centres with few instances first. */
struct SpreadScore {
  static constexpr size_t kPerClass = 8;
  static constexpr size_t kCandidates = 64;

  PackingScore packing;
  const Cell& cell;
  uint32_t workload = 0;

  double operator()(const Worker& worker, const PlacementNeed& need) const {
    // One instance in the rack outweighs any difference in packing.
    constexpr double kInstanceInRack = 8.0;
    constexpr double kInstanceInDataCentre = 0.5;
    return this->packing(worker, need) +
           this->packing.weights.spread *
               (kInstanceInRack *
                    this->cell.InstancesInRack(this->workload, worker.rack) +
                kInstanceInDataCentre *
                    this->cell.InstancesInDataCentre(this->workload,
                                                     worker.data_centre));
  }
};

inline constexpr size_t kScoresShown = 3;

/** The best worker, and the best few with their scores. */
struct ScoredChoice {
  WorkerSlot slot = 0;
  std::array<std::pair<double, WorkerSlot>, kScoresShown> best{};
  size_t shown = 0;
};

/** Returns the best of the first candidates that the index gives, or nothing if
 * no worker fits. Equal scores go to the first one found. */
template <PlacementScore Score>
std::optional<ScoredChoice> ChooseWorker(const Cell& cell,
                                         const PlacementNeed& need,
                                         const Score& score) {
  ScoredChoice choice;
  size_t candidates = 0;
  cell.VisitFitting(need, Score::kPerClass,
                    [&](WorkerSlot slot, const platform::Resources&) {
                      std::pair<double, WorkerSlot> entry(
                          score(cell.worker(slot), need), slot);
                      for (size_t i = 0; i < kScoresShown; ++i) {
                        if (i == choice.shown) {
                          choice.best[choice.shown++] = entry;
                          break;
                        }
                        if (entry.first < choice.best[i].first) {
                          std::swap(entry, choice.best[i]);
                        }
                      }
                      return ++candidates % Score::kCandidates != 0;
                    });
  if (choice.shown == 0) return std::nullopt;
  choice.slot = choice.best[0].second;
  return choice;
}

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_WORKER_CHOICE_H_
