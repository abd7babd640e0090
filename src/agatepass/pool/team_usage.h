/** \file
 * What each team may have running, against its cap. Deterministic, without a
 * clock.
 *
 * Handles teams that together ask for more than the pool has: a team never
 * starts more than its cap allows, whatever waits.
 */
#ifndef AGATEPASS_POOL_TEAM_USAGE_H_
#define AGATEPASS_POOL_TEAM_USAGE_H_

#include <cstdint>
#include <map>
#include <span>
#include <utility>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/platform/resources.h"
#include "agatepass/pool/job.h"
#include "agatepass/pool/team.h"

namespace agatepass::pool {

/** What a run counts for, from its start request until it has provably ended.
 */
struct TeamCharge {
  /** Empty if its job has no team. */
  base::TeamId team;
  platform::Resources amount;
  /** Whether the job is not known: then it counts against every team. */
  bool unattributed = false;
};

/** Tasks of a step that are ready to start. */
struct RoomRequest {
  base::TeamId team;
  /** What each task asks for. */
  platform::Resources need;
  uint32_t tasks = 0;
  /** The step: what is held back for it, or for steps after it, leaves it
   * room. */
  TaskName holder;
};

/** Counts the runs of teams.
 *
 * \code
 * usage.SetTeams(teams);
 * if (usage.CountRoom({team, need, 4, step}) == 4) usage.Add({team, 4 * need});
 * \endcode
 */
class TeamUsage {
 public:
  /** What is known of one team. */
  struct Entry {
    /** Its latest cap; 0 of a resource is no limit. */
    platform::Resources cap;
    /** Sum of its charges. */
    platform::Resources in_use;
    /** Upper bound of its runs that are not known. */
    platform::Resources unknown;
    /** Kept free for steps of the team, in the order of their turns. */
    std::vector<std::pair<TaskName, platform::Resources>> held_back;
  };

  /** Takes over the caps of a configuration. A team that it does not name
   * keeps its last cap. */
  void SetTeams(std::span<const Team> teams);

  /** Adds the charge of a run that is requested. */
  void Add(const TeamCharge& charge);
  /** Removes the charge of a run that has provably ended. */
  void Remove(const TeamCharge& charge);

  /** Replaces the upper bounds of the runs that are not known, right after a
   * takeover; a team that is not named has none. */
  void SetUnknownRuns(
      const std::map<base::TeamId, platform::Resources>& bounds);

  /** Keeps an amount free for a step until ReleaseHeldBack(). */
  void HoldBack(const base::TeamId& team, const TaskName& holder,
                const platform::Resources& amount);
  void ReleaseHeldBack();

  /** Returns how many of the tasks may start now under their team's cap. */
  uint32_t CountRoom(const RoomRequest& request) const;

  /** Whether this many tasks together fit into the team's cap while nothing
   * else of it runs. */
  bool FitsCap(const base::TeamId& team, const platform::Resources& need,
               uint32_t tasks) const;

  /** Returns what is known of a team; null for one that is not known. */
  const Entry* Find(const base::TeamId& team) const;

  /** All teams that were configured in this term, or have runs. */
  const std::map<base::TeamId, Entry>& teams() const { return this->entries; }

 private:
  std::map<base::TeamId, Entry> entries;
  platform::Resources unattributed;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_TEAM_USAGE_H_
