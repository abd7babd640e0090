#include "agatepass/placement/explanation.h"

#include <array>
#include <cstddef>

#include "fmt/format.h"

namespace agatepass::placement {
namespace {

using platform::Resources;

constexpr double kMillicoresPerProcessor = 1000.0;

/** Returns an amount of resources for people. */
std::string Amounts(const Resources& amount) {
  std::string text = fmt::format(
      "{:g} processors, {} MiB",
      static_cast<double>(amount.millicores) / kMillicoresPerProcessor,
      amount.memory_mib);
  if (amount.accelerators > 0) {
    text += fmt::format(", {} accelerators", amount.accelerators);
  }
  return text;
}

/** Returns a span of time for people, in seconds. */
std::string Seconds(base::Duration time) {
  return fmt::format("{:.1f} s", base::ToSeconds(time));
}

std::string Task(const Explanation& why) {
  return fmt::format("task \"{}\" of team \"{}\" ({}, {})", why.task.value,
                     why.team.value, PriorityName(why.priority),
                     WorkloadKindName(why.workload_kind));
}

/** Returns the sentence that says what the nearest worker lacks. */
std::string Miss(const NearestMiss& miss) {
  const int64_t lack = miss.needed - miss.available;
  switch (miss.obstacle) {
    case Obstacle::kAccelerators:
      return fmt::format("worker \"{}\" lacks {} of {} accelerators",
                         miss.worker.value, lack, miss.needed);
    case Obstacle::kMemory:
      return fmt::format("worker \"{}\" lacks {} of {} MiB of memory",
                         miss.worker.value, lack, miss.needed);
    case Obstacle::kProcessors:
      return fmt::format(
          "worker \"{}\" lacks {:g} of {:g} processors", miss.worker.value,
          static_cast<double>(lack) / kMillicoresPerProcessor,
          static_cast<double>(miss.needed) / kMillicoresPerProcessor);
    default:
      return fmt::format("worker \"{}\" is ruled out by: {}", miss.worker.value,
                         ObstacleName(miss.obstacle));
  }
}

/** Returns the first line: what was decided. */
std::string Headline(const Explanation& why) {
  switch (why.kind) {
    case DecisionKind::kPlace:
      return fmt::format("{} was placed on worker \"{}\" after {}", Task(why),
                         why.worker.value, Seconds(why.waited));
    case DecisionKind::kCheckpoint:
      return fmt::format("{} was checkpointed on worker \"{}\" to make room",
                         Task(why), why.worker.value);
    case DecisionKind::kStop:
      return fmt::format("{} was stopped on worker \"{}\" to make room",
                         Task(why), why.worker.value);
    case DecisionKind::kThrottle:
      return fmt::format("{} was throttled on worker \"{}\"", Task(why),
                         why.worker.value);
    case DecisionKind::kDelay:
      return fmt::format("{} has waited for {}", Task(why),
                         Seconds(why.waited));
    case DecisionKind::kRefuse:
      return fmt::format("{} was refused and has not run", Task(why));
  }
  return Task(why);
}

/** Returns what a task waits for or was refused for. */
std::string Cause(const Explanation& why) {
  switch (why.cause) {
    case WaitCause::kRoom:
      return "no worker has the room now";
    case WaitCause::kQuota:
      return fmt::format("team \"{}\" uses {} of its quota of {}",
                         why.team.value, Amounts(why.team_used),
                         Amounts(why.team_quota));
    case WaitCause::kPreset:
      return fmt::format(
          "preset \"{}\" starts only work of priority {} or "
          "higher",
          why.preset, PriorityName(why.lowest_started));
    case WaitCause::kGangIncomplete:
      return fmt::format("{} of the {} tasks of job \"{}\" have arrived",
                         why.gang_arrived, why.gang_size, why.job.value);
    case WaitCause::kPreemption:
      return fmt::format("{} less important tasks are leaving worker \"{}\"",
                         why.preempted.size(), why.worker.value);
    case WaitCause::kOrder:
      return "work with a better claim is tried first";
    case WaitCause::kNeverFits:
      return why.largest_worker.empty()
                 ? fmt::format("no worker takes work with the label \"{}\"",
                               why.label)
                 : fmt::format(
                       "no worker is large enough; the largest is "
                       "\"{}\" with {}",
                       why.largest_worker.value, Amounts(why.largest));
    case WaitCause::kJobFailsEverywhere:
      return fmt::format(
          "job \"{}\" failed on {} different workers and "
          "succeeded on none",
          why.job.value, why.failed_workers);
    case WaitCause::kNoWorkers:
      return "no worker is known";
    case WaitCause::kNothing:
      break;
  }
  return {};
}

/** Returns what would change the decision. */
std::string Remedy(const Explanation& why) {
  switch (why.cause) {
    case WaitCause::kRoom:
      if (!why.nearest || why.nearest->obstacle > Obstacle::kAccelerators) {
        return "more workers, or the end of running work";
      }
      return fmt::format(
          "{}: a task that needs no more than it has would "
          "start, and so would one of higher priority if "
          "lower work there can make way",
          Miss(*why.nearest));
    case WaitCause::kQuota:
      return fmt::format(
          "a quota of at least {} for team \"{}\", or the end "
          "of some of its tasks",
          Amounts(why.team_used + why.granted), why.team.value);
    case WaitCause::kPreset:
      return fmt::format("a preset that starts {} work, or a higher priority",
                         PriorityName(why.priority));
    case WaitCause::kGangIncomplete:
      return fmt::format("the arrival of {} more tasks",
                         why.gang_size - why.gang_arrived);
    case WaitCause::kNeverFits:
      return "a smaller declared size, or a larger worker";
    case WaitCause::kJobFailsEverywhere:
      return "a corrected job under a new id";
    case WaitCause::kOrder:
      return "a higher priority or a larger weight of the team";
    case WaitCause::kNoWorkers:
      return "a worker that joins the host list";
    default:
      return {};
  }
}

void AppendWorkers(const Explanation& why, std::string& text) {
  if (!why.ruled_out.empty()) {
    text += fmt::format("  workers ruled out, of {}:", why.workers);
    for (size_t i = 0; i < why.ruled_out.size(); ++i) {
      text += fmt::format("{} {} by {}", i == 0 ? "" : ",",
                          why.ruled_out[i].workers,
                          ObstacleName(why.ruled_out[i].obstacle));
    }
    text += '\n';
  }
  if (why.nearest) {
    text += fmt::format("  nearest miss: {}\n", Miss(*why.nearest));
  }
  if (why.scores.empty()) return;
  text += "  scores, lowest first:";
  for (size_t i = 0; i < why.scores.size(); ++i) {
    text += fmt::format("{} {} {:.3f}", i == 0 ? "" : ",",
                        why.scores[i].worker.value, why.scores[i].score);
  }
  text += '\n';
}

}  // namespace

std::string_view ObstacleName(Obstacle obstacle) {
  static constexpr std::array<std::string_view, kObstacleCount> kNames = {
      "nothing",        "processors",          "memory",  "accelerators",
      "reserved label", "rule of separation",  "leaving", "probation",
      "no owner lease", "room held for a gang"};
  return kNames[static_cast<size_t>(obstacle)];
}

std::string Render(const Explanation& why) {
  std::string text = Headline(why) + '\n';
  if (const std::string cause = Cause(why); !cause.empty()) {
    text += fmt::format("  because: {}\n", cause);
  }
  text += fmt::format("  declared: {}\n", Amounts(why.declared));
  if (why.granted != why.declared && why.granted != Resources{}) {
    text +=
        fmt::format("  granted, from observed use: {}\n", Amounts(why.granted));
  }
  if (why.effective_priority != why.priority) {
    text += fmt::format("  counts as {} after its wait\n",
                        PriorityName(why.effective_priority));
  }
  AppendWorkers(why, text);
  if (why.estimated_wait && why.kind == DecisionKind::kDelay) {
    text += fmt::format("  the next running task should end in: {}\n",
                        Seconds(*why.estimated_wait));
  }
  if (const std::string remedy = Remedy(why); !remedy.empty()) {
    text += fmt::format("  what would change it: {}\n", remedy);
  }
  text += fmt::format("  preset \"{}\", configuration revision {}\n",
                      why.preset, why.revision);
  return text;
}

}  // namespace agatepass::placement
