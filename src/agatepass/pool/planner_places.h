/** \file
 * Places in flight of one planner: how many starts and queries for advice it
 * may have sent without an answer.
 */
#ifndef AGATEPASS_POOL_PLANNER_PLACES_H_
#define AGATEPASS_POOL_PLANNER_PLACES_H_

#include "agatepass/base/time.h"
#include "agatepass/pool/concurrency_limit.h"

namespace agatepass::pool {

/** Limits starts by how late workers answer, which protects the way to them,
 * and what is not urgent by the lag of this process, so that the rest waits as
 * ready steps, where the most urgent goes first. Urgent work needs no place
 * that other work holds.
 *
 * \code
 * if (places.HasRoomForStart(lane)) { Send(start); places.OnStartSent(lane); }
 * places.OnStartDone(lane, delay, lag, now);
 * \endcode
 */
class PlannerPlaces {
 public:
  /** Lag of this process from which less is begun that is not urgent. */
  static constexpr base::Duration kMaxLag = std::chrono::milliseconds(25);

  bool HasRoomForStart(Lane lane) const {
    if (!this->starts.HasRoom(lane)) return false;
    return lane == Lane::kUrgent || this->other_starts.HasRoom(lane);
  }

  void OnStartSent(Lane lane) {
    this->starts.OnSent(lane);
    if (lane == Lane::kOther) this->other_starts.OnSent(lane);
  }

  /** Records the end of a start.
   * \param delay how late it was answered, without the lag of this process.
   * \param lag lag of this process. */
  void OnStartDone(Lane lane, base::Duration delay, base::Duration lag,
                   base::Instant now) {
    this->starts.OnDone(lane, delay, now);
    if (lane == Lane::kOther) this->other_starts.OnDone(lane, lag, now);
  }

  /** Records that the run of a start has ended before the start's answer. */
  void OnStartForgotten(Lane lane) {
    this->starts.OnForgotten(lane);
    if (lane == Lane::kOther) this->other_starts.OnForgotten(lane);
  }

  bool HasRoomForQuery(Lane lane) const {
    return lane == Lane::kUrgent || this->other_queries.HasRoom(lane);
  }

  void OnQuerySent(Lane lane) {
    if (lane == Lane::kOther) this->other_queries.OnSent(lane);
  }

  /** Records the end of a query. The service may be slow too: only the lag of
   * this process is a reason to ask less. */
  void OnQueryDone(Lane lane, base::Duration lag, base::Instant now) {
    if (lane == Lane::kOther) this->other_queries.OnDone(lane, lag, now);
  }

  /** Starts that may be in flight, by the workers' answers and by the lag. */
  double start_limit() const { return this->starts.limit(); }
  double other_start_limit() const { return this->other_starts.limit(); }
  /** Queries in flight that may be for work that is not urgent. */
  double other_query_limit() const { return this->other_queries.limit(); }

 private:
  /** Starts that are not urgent and may always be in flight: few enough that
   * their answers keep this process busy for less than kMaxLag. */
  static constexpr double kMinOtherStarts = 32;

  /** Queries that may always be in flight: they mostly wait for the service,
   * for a second and more, and cost this process little. */
  static constexpr double kMinQueries = 64;

  ConcurrencyLimit starts;
  ConcurrencyLimit other_starts{{.min = kMinOtherStarts,
                                 .initial = kMinOtherStarts,
                                 .max_delay = kMaxLag}};
  ConcurrencyLimit other_queries{
      {.min = kMinQueries, .initial = kMinQueries, .max_delay = kMaxLag}};
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_PLANNER_PLACES_H_
