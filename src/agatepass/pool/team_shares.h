/** \file
 * Which submissions of a team lie within its share. Deterministic: time comes
 * in as a parameter.
 *
 * Handles a team that sends several times its usual rate: what is beyond its
 * share is turned away first while all capacity is in use, so that the other
 * teams are served as before.
 */
#ifndef AGATEPASS_POOL_TEAM_SHARES_H_
#define AGATEPASS_POOL_TEAM_SHARES_H_

#include <cstddef>
#include <deque>
#include <map>
#include <span>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/pool/team.h"

namespace agatepass::pool {

/** Counts the jobs of each team that were accepted as within its share in a
 * sliding window. A job that was accepted beyond the share does not count, so
 * that a team which sends too much still gets its share.
 *
 * \code
 * if (shares.IsWithin(team, now)) shares.OnAcceptedWithin(team, now);
 * \endcode
 */
class TeamShares {
 public:
  /** Length of the window: submissions come in bursts, which a shorter one
   * would take for an excess. */
  static constexpr base::Duration kWindow = std::chrono::seconds(5);

  /** Takes over the weights of a configuration; a team that it does not name
   * has no share. */
  void SetTeams(std::span<const Team> teams);

  /** Whether the next job of the team lies within its share. Jobs without a
   * team always do. */
  bool IsWithin(const base::TeamId& team, base::Instant now) const;

  /** Records a job that was accepted as within the share. */
  void OnAcceptedWithin(const base::TeamId& team, base::Instant now);

  /** Returns the time until a job of the team is within its share; the whole
   * window for a team without a share. */
  base::Duration TimeUntilWithin(const base::TeamId& team,
                                 base::Instant now) const;

 private:
  struct Window {
    /** Jobs that the window has room for. */
    size_t size = 0;
    /** When the latest ones were accepted, at most `size`. */
    std::deque<base::Instant> accepted;
  };

  std::map<base::TeamId, Window> windows;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_TEAM_SHARES_H_
