/** \file
 * A JobKeeper on a MemoryStore in virtual time, which collects its effects.
 */
#ifndef FAKES_JOB_HOST_H_
#define FAKES_JOB_HOST_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "agatepass/jobs/job_keeper.h"
#include "fakes/memory_store.h"

namespace agatepass::fakes {

/** The time that the hosts of one test share. */
struct VirtualTime {
  base::Instant now = base::Instant(std::chrono::seconds(1000));

  /** The wall-clock time that goes with it. */
  base::WallTime wall() const { return {this->now.time_since_epoch().count()}; }
};

/** One entry host's keeper; a killed or paused host takes no replies. */
class JobHost {
 public:
  JobHost(const jobs::JobKeeperOptions& options,
          const jobs::Incarnation& incarnation, MemoryStore& store,
          VirtualTime& time);

  /** Hands the store calls that an input led to over to the store, and keeps
   * the other effects. */
  template <typename Input>
  auto Do(Input input) {
    jobs::Effects fresh;
    auto result = input(this->keeper, fresh);
    this->Take(fresh);
    return result;
  }

  uint64_t Submit(const jobs::JobSpec& spec);
  void Tick();
  void Adopt(const jobs::Incarnation& dead);
  void Inventory(const jobs::WorkerInventory& inventory);
  void SetWorkers(std::string_view data_centre,
                  const std::vector<base::WorkerId>& workers);

  /** The answer to a submission, if it was given. */
  std::optional<jobs::SubmissionAnswer> Answer(uint64_t submission) const;

  /** Replies to a host that is held back wait until it is let go. */
  void Pause() { this->paused = true; }
  void Resume();

  jobs::JobKeeper keeper;
  /** All effects so far but for store calls. */
  jobs::Effects seen;

 private:
  struct Reply {
    uint64_t call_id = 0;
    platform::StoreReply reply;
  };

  void Take(jobs::Effects& fresh);
  void Deliver(uint64_t call_id, const platform::StoreReply& reply);

  MemoryStore& store;
  VirtualTime& time;
  bool paused = false;
  std::vector<Reply> held;
};

/** Lets time pass: replies arrive and `hosts` tick when they have asked to. */
void RunFor(base::Duration span, MemoryStore& store, VirtualTime& time,
            const std::vector<JobHost*>& hosts);

}  // namespace agatepass::fakes

#endif  // FAKES_JOB_HOST_H_
