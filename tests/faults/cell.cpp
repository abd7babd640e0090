#include "tests/faults/cell.h"

#include <algorithm>

#include "agatepass/timeline/event.h"
#include "fmt/format.h"

namespace agatepass::faults {

using base::Duration;
using base::HostId;
using base::Instant;
using base::WallTime;
using node::Effects;
using std::chrono::milliseconds;

namespace {

constexpr Duration kTickPeriod = milliseconds(50);
constexpr Duration kPeerLatency = milliseconds(2);
constexpr Duration kWorkerLatency = milliseconds(1);
const base::DataCentreId kDataCentre("uus-a");

}  // namespace

struct Cell::CellClock {
  const Cell* cell;
  Instant Now() const { return this->cell->time; }
  WallTime Wall() const {
    return {this->cell->time.time_since_epoch().count()};
  }
};

/** A host's way to the store: answers to a dead life are dropped. */
class Cell::StoreLink {
 public:
  StoreLink(Cell* cell, int host, uint64_t life)
      : cell(cell), host(host), life(life) {}
  void Call(platform::StoreCall call, platform::StoreCallback callback) {
    this->cell->platform_store.Call(
        std::move(call),
        [cell = this->cell, host = this->host, life = this->life,
         callback = std::move(callback)](const platform::StoreReply& reply) {
          cell->Deliver(host, life, [callback, reply] { callback(reply); });
        });
  }

 private:
  Cell* cell;
  int host;
  uint64_t life;
};

class Cell::WorkerLink {
 public:
  WorkerLink(Cell* cell, int host, uint64_t life)
      : cell(cell), host(host), life(life) {}
  void Call(const platform::WorkerCall& call,
            const platform::WorkerCallback& callback) {
    this->cell->CallWorker(this->host, this->life, call, callback);
  }

 private:
  Cell* cell;
  int host;
  uint64_t life;
};

struct Cell::Host {
  HostId id;
  uint64_t life = 0;
  bool alive = false;
  bool paused = false;
  bool workers_cut = false;
  std::vector<std::function<void()>> waiting;
  CellClock clock{};
  std::unique_ptr<StoreLink> store;
  std::unique_ptr<WorkerLink> workers;
  std::unique_ptr<node::EntryHost> entry;
  std::unique_ptr<node::Driver<StoreLink, WorkerLink, CellClock>> driver;
  std::map<uint64_t, std::string> submissions;
  std::map<uint64_t, std::string> cancels;
  Instant next_list;
};

struct Cell::WorkerSlot {
  base::WorkerId id;
  fakes::WorkerModel model;
  bool paused = false;
  std::vector<std::function<void()>> waiting;
};

Cell::Cell(const CellOptions& options) : options(options) {
  this->platform_store.SetLatency(milliseconds(2));
  this->platform_store.RunUntil(this->time);
  for (int i = 0; i < options.workers; ++i) {
    const base::WorkerId id(fmt::format("w{}", i));
    this->workers.push_back(std::make_unique<WorkerSlot>(
        WorkerSlot{id, fakes::WorkerModel(id, options.worker_total)}));
  }
  for (int i = 0; i < options.entry_hosts; ++i) {
    this->hosts.push_back(std::make_unique<Host>());
    this->hosts.back()->id = HostId(fmt::format("e{}", i));
    this->Start(i);
  }
}

Cell::~Cell() = default;

node::EntryHost* Cell::host(int index) const {
  return this->hosts[index]->entry.get();
}

void Cell::At(Instant due, std::function<void()> action) {
  this->queue.emplace(due, std::move(action));
}

void Cell::Deliver(int host, uint64_t life, std::function<void()> action) {
  Host& target = *this->hosts[host];
  if (!target.alive || target.life != life) return;
  if (target.paused) {
    target.waiting.push_back([this, host, life, action = std::move(action)] {
      this->Deliver(host, life, action);
    });
    return;
  }
  action();
}

void Cell::Start(int index) {
  Host& host = *this->hosts[index];
  host.alive = true;
  host.paused = false;
  host.waiting.clear();
  host.submissions.clear();
  host.cancels.clear();
  // Incarnations are numbered by the wall clock at the start.
  host.life = static_cast<uint64_t>(this->time.time_since_epoch().count());
  host.clock.cell = this;
  host.store = std::make_unique<StoreLink>(this, index, host.life);
  host.workers = std::make_unique<WorkerLink>(this, index, host.life);
  node::EntryHostOptions settings;
  settings.self = {host.id, host.life};
  settings.data_centre = kDataCentre;
  settings.jobs.data_centre = kDataCentre;
  settings.task_lease = settings.jobs.task_lease - std::chrono::seconds(3);
  settings.seed = this->options.seed + static_cast<uint64_t>(index);
  host.entry = std::make_unique<node::EntryHost>(settings, this->time);
  host.driver =
      std::make_unique<node::Driver<StoreLink, WorkerLink, CellClock>>(
          *host.entry, *host.store, *host.workers, host.clock,
          [this, index](Effects& effects) {
            this->TakeEffects(index, effects);
          });
  host.next_list = this->time;
  this->At(this->time,
           [this, index, life = host.life] { this->Tick(index, life); });
}

void Cell::Tick(int index, uint64_t life) {
  Host& host = *this->hosts[index];
  if (!host.alive || host.life != life) return;
  this->At(this->time + kTickPeriod,
           [this, index, life] { this->Tick(index, life); });
  if (host.paused) return;
  if (this->time >= host.next_list) {
    host.next_list = this->time + std::chrono::seconds(1);
    host.driver->Run([&](Instant now, WallTime wall, Effects& effects) {
      host.entry->SetHosts(this->HostList(), now, wall, effects);
    });
  }
  host.driver->Run([&](Instant now, WallTime wall, Effects& effects) {
    host.entry->OnTick(now, wall, effects);
  });
}

void Cell::RunFor(Duration duration) {
  const Instant end = this->time + duration;
  while (true) {
    Instant next = end;
    if (!this->queue.empty()) next = std::min(next, this->queue.begin()->first);
    if (const auto due = this->platform_store.NextDue()) {
      next = std::min(next, *due);
    }
    if (next >= end) break;
    this->time = std::max(this->time, next);
    this->platform_store.RunUntil(this->time);
    if (!this->queue.empty() && this->queue.begin()->first <= this->time) {
      const auto action = std::move(this->queue.begin()->second);
      this->queue.erase(this->queue.begin());
      action();
    }
    this->CheckRunning();
  }
  this->time = end;
}

std::vector<platform::HostRecord> Cell::HostList() const {
  std::vector<platform::HostRecord> list;
  for (const auto& host : this->hosts) {
    platform::HostRecord record;
    record.name = host->id.value;
    record.role = platform::HostRole::kEntryHost;
    record.data_centre = kDataCentre;
    list.push_back(record);
  }
  for (const auto& worker : this->workers) {
    platform::HostRecord record;
    record.name = worker->id.value;
    record.data_centre = kDataCentre;
    record.total = this->options.worker_total;
    list.push_back(record);
  }
  return list;
}

CallerRecord* Cell::RecordOf(const base::TeamId& team) {
  const auto entry = this->records.find(team.value);
  return entry == this->records.end() ? nullptr : &entry->second;
}

void Cell::TakeEffects(int index, Effects& effects) {
  Host& host = *this->hosts[index];
  for (const node::NodeEvent& event : effects.events) {
    this->events.push_back(fmt::format(
        "{:9.3f} {} {:<14} {} {}",
        base::ToSeconds(this->time.time_since_epoch()), host.id.value,
        timeline::EventKindName(event.kind), event.subject, event.detail));
  }
  for (const node::PeerSend& send : effects.peer_sends) {
    this->SendPeer(index, send);
  }
  for (const jobs::SubmissionAnswer& answer : effects.submissions) {
    const auto entry = host.submissions.find(answer.submission_id);
    if (entry == host.submissions.end()) continue;
    this->records[entry->second].answer = answer;
  }
  for (const jobs::CancelAnswer& answer : effects.cancels) {
    const auto entry = host.cancels.find(answer.cancel_id);
    if (entry == host.cancels.end()) continue;
    this->records[entry->second].cancel = answer;
  }
  // A fenced process exits; the host starts it anew.
  if (effects.fenced) {
    this->At(this->time, [this, index, life = host.life] {
      if (this->hosts[index]->life != life) return;
      this->Kill(index);
      this->Restart(index);
    });
  }
}

void Cell::SendPeer(int from, const node::PeerSend& send) {
  const auto target =
      std::find_if(this->hosts.begin(), this->hosts.end(),
                   [&send](const auto& host) { return host->id == send.to; });
  if (target == this->hosts.end()) return;
  const int to = static_cast<int>(target - this->hosts.begin());
  if (this->cuts.contains({from, to})) return;
  peers::Envelope envelope;
  envelope.sender = this->hosts[from]->id;
  envelope.incarnation = this->hosts[from]->life;
  envelope.message = send.message;
  const uint64_t life = (*target)->life;
  this->At(this->time + kPeerLatency, [this, to, life, envelope] {
    this->Deliver(to, life, [this, to, envelope] {
      Host& host = *this->hosts[to];
      host.driver->Run([&](Instant now, WallTime wall, Effects& effects) {
        host.entry->OnPeerMessage(envelope, now, wall, effects);
      });
    });
  });
}

void Cell::CallWorker(int index, uint64_t life,
                      const platform::WorkerCall& call,
                      const platform::WorkerCallback& callback) {
  const auto done = std::make_shared<bool>(false);
  const auto finish = [this, index, life, callback,
                       done](const platform::WorkerReply& reply) {
    if (std::exchange(*done, true)) return;
    this->Deliver(index, life, [callback, reply] { callback(reply); });
  };
  this->At(this->time + call.timeout,
           [finish] { finish({.outcome = platform::Outcome::kUnknown}); });
  if (this->hosts[index]->workers_cut) return;
  const auto slot = std::find_if(
      this->workers.begin(), this->workers.end(),
      [&call](const auto& worker) { return worker->id == call.worker; });
  WorkerSlot* worker = slot->get();
  const auto arrive = [this, worker, index, call, finish] {
    const platform::WorkerReply reply = worker->model.Handle(call, this->time);
    this->NoteStarts(call, reply);
    if (this->hosts[index]->workers_cut) return;
    this->At(this->time + kWorkerLatency, [finish, reply] { finish(reply); });
  };
  this->At(this->time + kWorkerLatency, [worker, arrive] {
    if (worker->paused) {
      worker->waiting.emplace_back(arrive);
    } else {
      arrive();
    }
  });
}

void Cell::NoteStarts(const platform::WorkerCall& call,
                      const platform::WorkerReply& reply) {
  for (size_t i = 0; i < reply.starts.size(); ++i) {
    const platform::StartResult& result = reply.starts[i];
    const auto name = jobs::ParseTaskId(result.task);
    CallerRecord* record = this->RecordOf(call.starts[i].team);
    if (!result.started || !result.reason.empty() || !name) continue;
    if (record == nullptr) continue;
    ++record->starts[name->index];
    this->events.push_back(fmt::format(
        "{:9.3f} {} runs {}", base::ToSeconds(this->time.time_since_epoch()),
        call.worker.value, result.task.value));
  }
}

void Cell::CheckRunning() {
  std::map<std::pair<std::string, uint32_t>, std::string> places;
  for (const auto& worker : this->workers) {
    // A worker that stands still does not run its tasks either.
    if (!worker->paused) worker->model.Advance(this->time);
    for (const base::TaskId& task : worker->model.running()) {
      const auto name = jobs::ParseTaskId(task);
      const auto [entry, is_new] = places.emplace(
          std::pair(name->job.value, name->index), worker->id.value);
      if (is_new) continue;
      const std::string text =
          fmt::format("task {}/{} runs on {} and on {}", name->job.value,
                      name->index, entry->second, worker->id.value);
      if (this->violations.empty() || this->violations.back() != text) {
        this->violations.push_back(text);
      }
    }
  }
}

void Cell::Submit(int index, const std::string& name, jobs::JobSpec spec) {
  spec.idempotency_key = name;
  spec.team = base::TeamId(name);
  this->records[name].spec = spec;
  this->Deliver(index, this->hosts[index]->life, [this, index, name, spec] {
    Host& host = *this->hosts[index];
    host.driver->Run([&](Instant now, WallTime wall, Effects& effects) {
      const uint64_t number = host.entry->Submit(spec, now, wall, effects);
      host.submissions[number] = name;
    });
  });
}

void Cell::Cancel(int index, const std::string& name) {
  const CallerRecord& record = this->records[name];
  if (!record.answer || record.answer->job.empty()) return;
  this->Deliver(
      index, this->hosts[index]->life,
      [this, index, name, job = record.answer->job] {
        Host& host = *this->hosts[index];
        host.driver->Run([&](Instant now, WallTime wall, Effects& effects) {
          const uint64_t number =
              host.entry->Cancel(job, base::TeamId(name), now, wall, effects);
          host.cancels[number] = name;
        });
      });
}

void Cell::Kill(int index) {
  Host& host = *this->hosts[index];
  host.alive = false;
  host.paused = false;
  host.waiting.clear();
}

void Cell::Restart(int index) {
  if (!this->hosts[index]->alive) this->Start(index);
}

void Cell::Pause(int index) { this->hosts[index]->paused = true; }

void Cell::Wake(int index) {
  Host& host = *this->hosts[index];
  if (!host.alive) return;
  host.paused = false;
  for (const auto& action : std::exchange(host.waiting, {})) action();
}

void Cell::Drain(int index) {
  this->Deliver(index, this->hosts[index]->life, [this, index] {
    Host& host = *this->hosts[index];
    host.driver->Run([&](Instant now, WallTime wall, Effects& effects) {
      host.entry->Drain(now, wall, effects);
    });
  });
}

void Cell::Isolate(int index, bool cut) {
  for (int other = 0; other < static_cast<int>(this->hosts.size()); ++other) {
    if (other == index) continue;
    this->CutOneWay(index, other, cut);
    this->CutOneWay(other, index, cut);
  }
}

void Cell::CutOneWay(int from, int to, bool cut) {
  if (cut) {
    this->cuts.emplace(from, to);
  } else {
    this->cuts.erase({from, to});
  }
}

void Cell::CutWorkers(int index, bool cut) {
  this->hosts[index]->workers_cut = cut;
}

void Cell::PauseWorker(int index, bool paused) {
  WorkerSlot& worker = *this->workers[index];
  worker.paused = paused;
  if (paused) return;
  for (const auto& action : std::exchange(worker.waiting, {})) action();
}

void Cell::ReplaceWorker(int index) { this->workers[index]->model.Reset(); }

void Cell::FailWorker(int index, bool fails) {
  this->workers[index]->model.FailEverything(fails);
}

std::vector<std::string> Cell::Violations() const {
  std::vector<std::string> result = this->violations;
  for (const auto& worker : this->workers) {
    if (worker->model.overloaded()) {
      result.push_back(
          fmt::format("worker {} is overloaded", worker->id.value));
    }
  }
  for (const auto& [name, record] : this->records) {
    for (const auto& [index, count] : record.starts) {
      if (!record.spec.idempotent && count > 1) {
        result.push_back(
            fmt::format("task {} of {} ran {} times", index, name, count));
      }
      const bool told_not_run =
          record.answer &&
          base::DescribeResultCode(record.answer->code).execution ==
              base::Execution::kNotRun;
      if (told_not_run) {
        result.push_back(fmt::format("{} was told not run, and ran", name));
      }
      const bool cancelled_unrun =
          record.cancel && index < record.cancel->fates.size() &&
          record.cancel->fates[index] == jobs::TaskFate::kNotRun;
      if (cancelled_unrun) {
        result.push_back(
            fmt::format("task {} of {} was cancelled, and ran", index, name));
      }
    }
  }
  return result;
}

std::vector<std::string> Cell::Unfinished() const {
  std::vector<std::string> result;
  for (const auto& [name, record] : this->records) {
    if (!record.answer || record.answer->code != base::ResultCode::kAccepted) {
      continue;
    }
    bool found = false;
    for (const auto& host : this->hosts) {
      if (!host->alive) continue;
      const auto view =
          host->entry->Find(record.answer->job, base::TeamId(name));
      if (!view.ok()) continue;
      found = true;
      for (const jobs::TaskView& task : view->tasks) {
        if (jobs::IsEnded(task.state)) continue;
        if (task.state == jobs::TaskState::kInDoubt) continue;
        result.push_back(fmt::format("{} task {} is {} on {}", name, task.index,
                                     jobs::TaskStateName(task.state),
                                     host->id.value));
      }
    }
    if (!found) result.push_back(fmt::format("{} is lost", name));
  }
  return result;
}

}  // namespace agatepass::faults
