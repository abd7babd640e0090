// Searches all interleavings of two hosts, one store and two workers, up to a
// depth: what one host started may never be started by the other one.
#include <map>
#include <set>
#include <string>
#include <vector>

#include "agatepass/jobs/job_keeper.h"
#include "fakes/store_model.h"
#include "gtest/gtest.h"

namespace agatepass::jobs {
namespace {

using platform::Outcome;

/** A worker that grants leases with rising epochs and remembers starts. */
struct ModelWorker {
  platform::Epoch epoch = 0;
  std::vector<base::TaskId> started;
};

struct ModelHost {
  explicit ModelHost(const Incarnation& self)
      : keeper(Options(), self, /*seed=*/1) {}

  static JobKeeperOptions Options() {
    JobKeeperOptions options;
    options.data_centre = base::DataCentreId("dc");
    return options;
  }

  JobKeeper keeper;
  std::vector<NumberedStoreCall> calls;
  std::vector<base::TaskId> ready;
  /** A start that is on its way to the worker, and the epoch it carries. */
  std::vector<std::pair<base::TaskId, platform::Epoch>> starts;
  platform::Epoch epoch = 0;
  bool accepted = false;
};

enum class Move : uint8_t {
  kStoreCall0,
  kStoreCall1,
  kLostAnswer0,
  kAdopt0,
  kAdopt1,
  kClaim0,
  kClaim1,
  kSendStart0,
  kSendStart1,
  kArriveStart0,
  kArriveStart1,
  kTick0,
  kTick1,
  kCount,
};

/** A whole small cell, driven move by move. */
class Model {
 public:
  Model() {
    JobSpec spec;
    spec.idempotency_key = "k";
    spec.team = base::TeamId("t");
    spec.command = "c";
    Effects effects;
    this->hosts[0].keeper.Submit(spec, this->now, {}, effects);
    this->Take(0, effects);
    Effects other;
    const std::vector<base::WorkerId> names = {Name(0), Name(1)};
    for (int host : {0, 1}) {
      Effects fresh;
      this->hosts[host].keeper.SetWorkers(base::DataCentreId("dc"), names,
                                          this->now, {}, fresh);
      this->Take(host, fresh);
    }
  }

  /** Makes one move. \return false if it is not possible now. */
  bool Make(Move move) {
    this->now += std::chrono::seconds(10);
    switch (move) {
      case Move::kStoreCall0:
        return this->AnswerCall(0, false);
      case Move::kStoreCall1:
        return this->AnswerCall(1, false);
      case Move::kLostAnswer0:
        return this->AnswerCall(0, true);
      case Move::kAdopt0:
        return this->Adopt(0);
      case Move::kAdopt1:
        return this->Adopt(1);
      case Move::kClaim0:
        return this->Claim(0);
      case Move::kClaim1:
        return this->Claim(1);
      case Move::kSendStart0:
        return this->SendStart(0);
      case Move::kSendStart1:
        return this->SendStart(1);
      case Move::kArriveStart0:
        return this->ArriveStart(0);
      case Move::kArriveStart1:
        return this->ArriveStart(1);
      case Move::kTick0:
        return this->Tick(0);
      case Move::kTick1:
        return this->Tick(1);
      case Move::kCount:
        break;
    }
    return false;
  }

  size_t starts() const {
    return this->workers[0].started.size() + this->workers[1].started.size();
  }

 private:
  static base::WorkerId Name(int worker) {
    return base::WorkerId("w" + std::to_string(worker));
  }

  void Take(int host, Effects& effects) {
    ModelHost& target = this->hosts[host];
    for (auto& call : effects.store_calls) {
      target.calls.push_back(std::move(call));
    }
    for (const auto& task : effects.ready) target.ready.push_back(task.task);
  }

  bool AnswerCall(int host, bool lose) {
    ModelHost& target = this->hosts[host];
    if (target.calls.empty()) return false;
    const NumberedStoreCall call = target.calls.front();
    target.calls.erase(target.calls.begin());
    platform::StoreReply reply = this->store.Handle(call.call, this->now);
    if (lose) reply = {Outcome::kUnknown, {}, 0};
    Effects effects;
    target.keeper.OnStoreReply(call.call_id, reply, this->now, {1}, effects);
    this->Take(host, effects);
    return true;
  }

  bool Adopt(int host) {
    if (!this->adopting.insert(host).second) return false;
    Effects effects;
    this->hosts[host].keeper.AdoptJournalOf(
        this->hosts[1 - host].keeper.incarnation(), this->now, effects);
    this->Take(host, effects);
    return true;
  }

  /** Host 0 places on worker 0 only; host 1 claims both, and places on
   * worker 1. */
  bool Claim(int host) {
    if (this->workers[0].epoch >= 3) return false;
    this->ClaimWorker(host, 0);
    if (host == 1) this->ClaimWorker(host, 1);
    return true;
  }

  void ClaimWorker(int host, int index) {
    ModelHost& target = this->hosts[host];
    ModelWorker& worker = this->workers[index];
    target.epoch = ++worker.epoch;
    std::vector<platform::TaskReport> tasks;
    for (const base::TaskId& task : worker.started) {
      platform::TaskReport report;
      report.task = task;
      tasks.push_back(report);
    }
    Effects effects;
    target.keeper.OnInventory(
        {Name(index), InventoryKind::kClaim, target.epoch, this->now,
         /*own_claim=*/true, tasks},
        this->now, {1}, effects);
    this->Take(host, effects);
  }

  bool SendStart(int host) {
    ModelHost& target = this->hosts[host];
    if (target.ready.empty() || target.epoch == 0) return false;
    const base::TaskId task = target.ready.front();
    const auto permission =
        target.keeper.OnStartSent(task, Name(host), target.epoch, this->now);
    if (permission == StartPermission::kNotYet) return false;
    target.ready.erase(target.ready.begin());
    if (permission == StartPermission::kGranted) {
      target.starts.emplace_back(task, target.epoch);
    }
    return true;
  }

  bool ArriveStart(int host) {
    ModelHost& target = this->hosts[host];
    if (target.starts.empty()) return false;
    const auto [task, epoch] = target.starts.front();
    target.starts.erase(target.starts.begin());
    ModelWorker& worker = this->workers[host];
    if (epoch >= worker.epoch) worker.started.push_back(task);
    return true;
  }

  bool Tick(int host) {
    ModelHost& target = this->hosts[host];
    if (!target.calls.empty()) return false;
    Effects effects;
    target.keeper.OnTick(this->now, {1}, effects);
    const bool useful = !effects.store_calls.empty();
    this->Take(host, effects);
    return useful;
  }

  base::Instant now{std::chrono::seconds(1000)};
  fakes::StoreModel store;
  ModelWorker workers[2];
  ModelHost hosts[2] = {ModelHost({base::HostId("a"), 1}),
                        ModelHost({base::HostId("b"), 1})};
  std::set<int> adopting;
};

struct Search {
  size_t runs = 0;
  size_t started_runs = 0;
  std::string failure;
};

/** Replays `moves` from the start, then tries each further move. */
void Explore(std::vector<Move>& moves, size_t depth, Search& search) {
  for (int next = 0; next < static_cast<int>(Move::kCount); ++next) {
    if (!search.failure.empty()) return;
    Model model;
    for (Move move : moves) model.Make(move);
    if (!model.Make(static_cast<Move>(next))) continue;
    moves.push_back(static_cast<Move>(next));
    ++search.runs;
    if (model.starts() == 1) ++search.started_runs;
    if (model.starts() > 1) {
      for (Move move : moves) {
        search.failure += std::to_string(static_cast<int>(move)) + " ";
      }
    }
    if (moves.size() < depth) Explore(moves, depth, search);
    moves.pop_back();
  }
}

TEST(Exhaustive, NoTaskStartsTwiceFromSubmission) {
  Search search;
  std::vector<Move> moves;
  Explore(moves, /*depth=*/6, search);
  EXPECT_EQ(search.failure, "");
  RecordProperty("runs", static_cast<int>(search.runs));
  EXPECT_GT(search.started_runs, 0U);
}

TEST(Exhaustive, NoTaskStartsTwiceOnceAccepted) {
  Search search;
  std::vector<Move> moves = {Move::kStoreCall0, Move::kStoreCall0,
                             Move::kClaim0,     Move::kStoreCall0,
                             Move::kSendStart0, Move::kAdopt1};
  Explore(moves, moves.size() + 6, search);
  EXPECT_EQ(search.failure, "");
  RecordProperty("runs", static_cast<int>(search.runs));
}

TEST(Exhaustive, NoTaskStartsTwiceOnceSealed) {
  Search search;
  std::vector<Move> moves = {
      Move::kStoreCall0, Move::kStoreCall0, Move::kAdopt1,
      Move::kStoreCall1, Move::kStoreCall1, Move::kStoreCall1,
      Move::kStoreCall1, Move::kStoreCall1, Move::kStoreCall1};
  Explore(moves, moves.size() + 5, search);
  EXPECT_EQ(search.failure, "");
  RecordProperty("runs", static_cast<int>(search.runs));
}

TEST(Exhaustive, NoTaskStartsTwiceOnceTheAdopterStartedIt) {
  Search search;
  std::vector<Move> moves = {Move::kStoreCall0, Move::kStoreCall0,
                             Move::kAdopt1};
  // Up to ten store calls seal the journal and record the job anew.
  moves.insert(moves.end(), 10, Move::kStoreCall1);
  moves.insert(moves.end(), {Move::kClaim1, Move::kStoreCall1,
                             Move::kSendStart1, Move::kArriveStart1});
  Explore(moves, moves.size() + 5, search);
  EXPECT_EQ(search.failure, "");
  EXPECT_GT(search.started_runs, 0U);
  RecordProperty("runs", static_cast<int>(search.runs));
}

TEST(Exhaustive, ClaimFromBeforeTheAdoptionProvesNothing) {
  Search search;
  std::vector<Move> moves = {
      Move::kClaim1,     Move::kStoreCall0, Move::kStoreCall0, Move::kClaim0,
      Move::kStoreCall0, Move::kSendStart0, Move::kAdopt1};
  moves.insert(moves.end(), 10, Move::kStoreCall1);
  Explore(moves, moves.size() + 5, search);
  EXPECT_EQ(search.failure, "");
  EXPECT_GT(search.started_runs, 0U);
  RecordProperty("runs", static_cast<int>(search.runs));
}

}  // namespace
}  // namespace agatepass::jobs
