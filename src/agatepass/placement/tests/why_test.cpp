#include <cstdlib>
#include <fstream>
#include <sstream>

#include "agatepass/placement/planner.h"
#include "agatepass/placement/tests/planner_fixture.h"
#include "gtest/gtest.h"

namespace agatepass::placement {
namespace {

/** Compares `text` with the golden file; with AGATEPASS_WRITE_GOLDEN set in the
 * environment the file is written anew, for a person to read through. */
void ExpectGolden(const std::string& name, const std::string& text) {
  const std::string path =
      AGATEPASS_SOURCE_DIR "/tests/golden/why/" + name + ".txt";
  if (std::getenv("AGATEPASS_WRITE_GOLDEN") != nullptr) {
    std::ofstream(path) << text;
  }
  std::ifstream file(path);
  std::stringstream expected;
  expected << file.rdbuf();
  EXPECT_EQ(text, expected.str()) << path;
}

Policy MakePolicy() {
  Policy policy = OrdinaryPolicy();
  policy.revision = 41;
  policy.separations = {{.first = "estate", .second = "counter"}};
  policy.teams[base::TeamId("small")].quota = {.millicores = 1500,
                                               .memory_mib = 4096};
  return policy;
}

/** Two workers, one of them with 4 accelerators of which 2 are taken. */
Planner MakePlanner() {
  Planner planner(1);
  planner.SetPolicy(MakePolicy());
  planner.UpsertWorker(MakeWorker("w1"));
  planner.UpsertWorker(MakeWorker(
      "w17", {.millicores = 8000, .memory_mib = 16384, .accelerators = 4}));
  TaskRequest running = MakeTask("running");
  running.expected_run_time = std::chrono::seconds(90);
  planner.Adopt(running, base::WorkerId("w17"),
                {.millicores = 2000, .memory_mib = 4096, .accelerators = 2},
                kStart);
  return planner;
}

std::string Why(Planner& planner, const TaskRequest& request) {
  const absl::Status status = planner.Enqueue(request, kStart);
  const base::Instant later = kStart + std::chrono::seconds(2);
  planner.Decide(later, 100);
  const auto why = planner.Explain(request.task, later);
  return why ? Render(*why) : "no explanation";
}

TEST(Why, Placed) {
  Planner planner = MakePlanner();
  ExpectGolden("placed", Why(planner, MakeTask("t")));
}

TEST(Why, DelayedForAccelerators) {
  Planner planner = MakePlanner();
  TaskRequest request = MakeTask("t");
  request.declared.accelerators = 4;
  ExpectGolden("delayed_accelerators", Why(planner, request));
}

TEST(Why, DelayedForQuota) {
  Planner planner = MakePlanner();
  TaskRequest first = MakeTask("first");
  first.team = base::TeamId("small");
  Why(planner, first);
  TaskRequest second = first;
  second.task = base::TaskId("second");
  ExpectGolden("delayed_quota", Why(planner, second));
}

TEST(Why, DelayedBySeparation) {
  Planner planner = MakePlanner();
  for (const std::string worker : {"w1", "w17"}) {
    TaskRequest counter = MakeTask("counter-" + worker);
    counter.label = "counter";
    planner.Adopt(counter, base::WorkerId(worker), {.millicores = 100}, kStart);
  }
  TaskRequest request = MakeTask("t");
  request.label = "estate";
  ExpectGolden("delayed_separation", Why(planner, request));
}

TEST(Why, DelayedByPreset) {
  Planner planner = MakePlanner();
  planner.SetPolicy(MaintenancePolicy());
  TaskRequest request = MakeTask("t");
  request.priority = Priority::kBulk;
  ExpectGolden("delayed_preset", Why(planner, request));
}

TEST(Why, DelayedForTheRestOfTheGang) {
  Planner planner = MakePlanner();
  TaskRequest request = MakeTask("t");
  request.kind = WorkloadKind::kGang;
  request.job = base::JobId("gang");
  request.gang_size = 3;
  ExpectGolden("delayed_gang", Why(planner, request));
}

TEST(Why, RefusedAsNeverFitting) {
  Planner planner = MakePlanner();
  TaskRequest request = MakeTask("t");
  request.declared.memory_mib = 65536;
  ExpectGolden("refused_never_fits", Why(planner, request));
}

}  // namespace
}  // namespace agatepass::placement
