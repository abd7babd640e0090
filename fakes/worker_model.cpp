#include "fakes/worker_model.h"

#include <string_view>

#include "agatepass/base/text.h"
#include "fmt/format.h"

namespace agatepass::fakes {

using platform::Outcome;
using platform::TaskPhase;
using platform::WorkerCall;
using platform::WorkerReply;
using platform::WorkerVerb;

namespace {

struct Script {
  TaskPhase ends_as = TaskPhase::kSucceeded;
  base::Instant ends = base::Instant::max();
};

Script ParseCommand(std::string_view command, base::Instant now) {
  const auto words = base::SplitList(command, ' ');
  Script script;
  if (words.size() != 2) return script;
  if (words[0] == "fail") script.ends_as = TaskPhase::kFailed;
  const int64_t run = base::ParseNumber<int64_t>(words[1]).value_or(0);
  script.ends = now + std::chrono::milliseconds(run);
  return script;
}

}  // namespace

WorkerReply WorkerModel::Handle(const WorkerCall& call, base::Instant now) {
  this->Advance(now);
  if (!this->remembers_since) {
    // A worker that was not replaced has been there since long before.
    constexpr base::Duration kUpTime = std::chrono::hours(24);
    this->remembers_since = this->was_reset ? now : now - kUpTime;
  }
  WorkerReply reply;
  reply.outcome = Outcome::kDone;
  const bool allowed =
      call.verb == WorkerVerb::kClaim
          ? this->Claim(call, now)
          : call.epoch == this->epoch && call.holder == this->holder;
  if (!allowed) {
    reply.outcome = Outcome::kRefused;
  } else {
    if (call.verb == WorkerVerb::kRenew) this->Renew(call, now);
    if (call.verb == WorkerVerb::kRelease) this->holder = base::HostId();
    if (call.verb == WorkerVerb::kStop) this->Stop(call);
    for (const platform::TaskStart& start : call.starts) {
      reply.starts.push_back(this->Start(start, now));
    }
    if (call.verb == WorkerVerb::kClaim || call.verb == WorkerVerb::kRenew) {
      this->FillReport(&reply);
      reply.memory_age = now - *this->remembers_since;
    }
  }
  reply.epoch = this->epoch;
  reply.holder = this->holder;
  return reply;
}

bool WorkerModel::Claim(const WorkerCall& call, base::Instant now) {
  const bool free = this->holder.empty() || now >= this->lapses ||
                    this->holder == call.holder || this->holder == call.from;
  if (!free) return false;
  ++this->epoch;
  this->holder = call.holder;
  this->lapses = now + call.lease;
  return true;
}

void WorkerModel::Renew(const WorkerCall& call, base::Instant now) {
  this->lapses = now + call.lease;
  for (const base::TaskId& task : call.tasks) {
    const auto entry = this->tasks.find(task);
    if (entry == this->tasks.end()) continue;
    if (entry->second.phase != TaskPhase::kRunning) this->tasks.erase(entry);
  }
  for (auto& [id, task] : this->tasks) task.lapses = now + task.start.lease;
}

platform::StartResult WorkerModel::Start(const platform::TaskStart& start,
                                         base::Instant now) {
  if (this->started.contains(start.task)) {
    return {start.task, this->tasks.contains(start.task), "seen before"};
  }
  if (!start.declared.FitsIn(this->total - this->committed())) {
    return {start.task, false, "no room"};
  }
  ++this->started[start.task];
  Script script = ParseCommand(start.command, now);
  if (this->fails_everything) script = {TaskPhase::kFailed, now};
  Task& task = this->tasks[start.task];
  task.start = start;
  task.ends_as = script.ends_as;
  task.ends = script.ends;
  task.lapses = now + start.lease;
  if (!this->committed().FitsIn(this->total)) this->was_overloaded = true;
  return {start.task, true, ""};
}

void WorkerModel::Stop(const WorkerCall& call) {
  for (const base::TaskId& id : call.tasks) {
    const auto entry = this->tasks.find(id);
    if (entry == this->tasks.end()) continue;
    if (entry->second.phase == TaskPhase::kRunning) {
      entry->second.phase = TaskPhase::kStopped;
    }
  }
}

void WorkerModel::Advance(base::Instant now) {
  for (auto& [id, task] : this->tasks) {
    if (task.phase != TaskPhase::kRunning) continue;
    const bool stops = task.start.on_lapse == platform::LapseAction::kStop &&
                       task.start.lease.count() > 0 && now >= task.lapses;
    if (task.ends <= now) {
      task.phase = task.ends_as;
    } else if (stops) {
      task.phase = TaskPhase::kStopped;
    }
  }
}

void WorkerModel::Reset() {
  this->tasks.clear();
  this->remembers_since.reset();
  this->was_reset = true;
  this->holder = base::HostId();
  this->lapses = base::Instant();
}

std::vector<base::TaskId> WorkerModel::running() const {
  std::vector<base::TaskId> ids;
  for (const auto& [id, task] : this->tasks) {
    if (task.phase == TaskPhase::kRunning) ids.push_back(id);
  }
  return ids;
}

platform::Resources WorkerModel::committed() const {
  platform::Resources sum;
  for (const auto& [id, task] : this->tasks) {
    if (task.phase == TaskPhase::kRunning) sum += task.start.declared;
  }
  return sum;
}

void WorkerModel::FillReport(WorkerReply* reply) const {
  reply->total = this->total;
  for (const auto& [id, task] : this->tasks) {
    platform::TaskReport report;
    report.task = id;
    report.phase = task.phase;
    report.declared = task.start.declared;
    report.used = task.start.declared;
    if (task.phase == TaskPhase::kSucceeded) {
      report.result = fmt::format("result of {}", id.value);
    }
    reply->tasks.push_back(std::move(report));
  }
}

}  // namespace agatepass::fakes
