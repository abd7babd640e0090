#include "fakes/job_host.h"

#include <iterator>
#include <utility>

namespace agatepass::fakes {
namespace {

template <typename Item>
void MoveAll(std::vector<Item>& from, std::vector<Item>& to) {
  to.insert(to.end(), std::make_move_iterator(from.begin()),
            std::make_move_iterator(from.end()));
}

}  // namespace

JobHost::JobHost(const jobs::JobKeeperOptions& options,
                 const jobs::Incarnation& incarnation, MemoryStore& store,
                 VirtualTime& time)
    : keeper(options, incarnation, /*seed=*/1), store(store), time(time) {}

void JobHost::Take(jobs::Effects& fresh) {
  for (jobs::NumberedStoreCall& call : fresh.store_calls) {
    this->store.Call(
        std::move(call.call),
        [this, id = call.call_id](const platform::StoreReply& reply) {
          this->Deliver(id, reply);
        });
  }
  MoveAll(fresh.submissions, this->seen.submissions);
  MoveAll(fresh.cancels, this->seen.cancels);
  MoveAll(fresh.settles, this->seen.settles);
  MoveAll(fresh.ready, this->seen.ready);
  MoveAll(fresh.withdrawn, this->seen.withdrawn);
  MoveAll(fresh.stops, this->seen.stops);
  MoveAll(fresh.acknowledgements, this->seen.acknowledgements);
  MoveAll(fresh.claims_wanted, this->seen.claims_wanted);
  MoveAll(fresh.proofs_wanted, this->seen.proofs_wanted);
  MoveAll(fresh.journals, this->seen.journals);
  MoveAll(fresh.events, this->seen.events);
  this->seen.fenced = this->seen.fenced || fresh.fenced;
}

void JobHost::Deliver(uint64_t call_id, const platform::StoreReply& reply) {
  if (this->paused) {
    this->held.push_back({call_id, reply});
    return;
  }
  jobs::Effects fresh;
  this->keeper.OnStoreReply(call_id, reply, this->time.now, this->time.wall(),
                            fresh);
  this->Take(fresh);
}

void JobHost::Resume() {
  this->paused = false;
  for (const Reply& reply : std::exchange(this->held, {})) {
    this->Deliver(reply.call_id, reply.reply);
  }
}

uint64_t JobHost::Submit(const jobs::JobSpec& spec) {
  return this->Do([&](jobs::JobKeeper& target, jobs::Effects& fresh) {
    return target.Submit(spec, this->time.now, this->time.wall(), fresh);
  });
}

void JobHost::Tick() {
  if (this->paused) return;
  jobs::Effects fresh;
  this->keeper.OnTick(this->time.now, this->time.wall(), fresh);
  this->Take(fresh);
}

void JobHost::Adopt(const jobs::Incarnation& dead) {
  jobs::Effects fresh;
  this->keeper.AdoptJournalOf(dead, this->time.now, fresh);
  this->Take(fresh);
}

void JobHost::Inventory(const jobs::WorkerInventory& inventory) {
  jobs::Effects fresh;
  this->keeper.OnInventory(inventory, this->time.now, this->time.wall(), fresh);
  this->Take(fresh);
}

void JobHost::SetWorkers(std::string_view data_centre,
                         const std::vector<base::WorkerId>& workers) {
  jobs::Effects fresh;
  this->keeper.SetWorkers(base::DataCentreId(data_centre), workers,
                          this->time.now, this->time.wall(), fresh);
  this->Take(fresh);
}

std::optional<jobs::SubmissionAnswer> JobHost::Answer(
    uint64_t submission) const {
  for (const jobs::SubmissionAnswer& answer : this->seen.submissions) {
    if (answer.submission_id == submission) return answer;
  }
  return std::nullopt;
}

void RunFor(base::Duration span, MemoryStore& store, VirtualTime& time,
            const std::vector<JobHost*>& hosts) {
  constexpr base::Duration kStep = std::chrono::milliseconds(1);
  const base::Instant end = time.now + span;
  while (time.now < end) {
    time.now += kStep;
    store.RunUntil(time.now);
    for (JobHost* host : hosts) {
      const auto wake = host->keeper.NextWake(time.now);
      const bool second = time.now.time_since_epoch() %
                              base::Duration(std::chrono::seconds(1)) ==
                          base::Duration(0);
      if (second || (wake && *wake <= time.now)) host->Tick();
    }
  }
}

}  // namespace agatepass::fakes
