// Every fault at every step of a job's life, and pairs of faults by seed.
#include <algorithm>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "tests/faults/cell.h"

namespace agatepass::faults {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A fault that begins, lasts and ends. */
struct Fault {
  std::string name;
  std::function<void(Cell&)> begin;
  std::function<void(Cell&)> end;
};

std::vector<Fault> AllFaults() {
  const auto store = [](fakes::MemoryStoreFault fault) {
    return [fault](Cell& cell) { cell.store().SetFault(fault); };
  };
  const auto store_well = store(fakes::MemoryStoreFault::kNone);
  return {
      {"entry host dies", [](Cell& c) { c.Kill(0); },
       [](Cell& c) { c.Restart(0); }},
      {"entry host pauses", [](Cell& c) { c.Pause(0); },
       [](Cell& c) { c.Wake(0); }},
      {"entry host stops as planned", [](Cell& c) { c.Drain(0); },
       [](Cell& c) {
         c.Kill(0);
         c.Restart(0);
       }},
      {"entry host is cut off from peers", [](Cell& c) { c.Isolate(0, true); },
       [](Cell& c) { c.Isolate(0, false); }},
      {"entry host hears nobody", [](Cell& c) { c.CutOneWay(1, 0, true); },
       [](Cell& c) { c.CutOneWay(1, 0, false); }},
      {"nobody hears the entry host", [](Cell& c) { c.CutOneWay(0, 1, true); },
       [](Cell& c) { c.CutOneWay(0, 1, false); }},
      {"entry host is cut off from workers",
       [](Cell& c) { c.CutWorkers(0, true); },
       [](Cell& c) { c.CutWorkers(0, false); }},
      {"store down", store(fakes::MemoryStoreFault::kDown), store_well},
      {"store loses calls", store(fakes::MemoryStoreFault::kLoseCalls),
       store_well},
      {"store loses answers", store(fakes::MemoryStoreFault::kLoseAnswers),
       store_well},
      {"store slow", [](Cell& c) { c.store().SetLatency(milliseconds(900)); },
       [](Cell& c) { c.store().SetLatency(milliseconds(2)); }},
      {"worker pauses", [](Cell& c) { c.PauseWorker(0, true); },
       [](Cell& c) { c.PauseWorker(0, false); }},
      {"worker is replaced", [](Cell& c) { c.ReplaceWorker(0); }, [](Cell&) {}},
      {"worker fails all", [](Cell& c) { c.FailWorker(0, true); },
       [](Cell& c) { c.FailWorker(0, false); }},
      {"cancel", [](Cell& c) { c.Cancel(0, "letters"); }, [](Cell&) {}},
  };
}

jobs::JobSpec MakeSpec(uint32_t tasks, bool idempotent) {
  jobs::JobSpec spec;
  spec.task_count = tasks;
  spec.declared = {1000, 512, 0};
  spec.command = "run 400";
  spec.idempotent = idempotent;
  spec.priority = idempotent ? 1 : 3;
  return spec;
}

/** Jobs at once and one more later, while faults may be on. */
void SubmitDay(Cell& cell) {
  cell.Submit(0, "alert", MakeSpec(1, false));
  cell.Submit(0, "letters", MakeSpec(12, false));
  cell.Submit(0, "packs", MakeSpec(6, true));
  cell.Submit(1, "quotes", MakeSpec(4, false));
}

std::string Describe(const Cell& cell) {
  std::string text;
  for (const std::string& line : cell.trace()) text += line + "\n";
  return text;
}

void ExpectSound(Cell& cell) {
  EXPECT_EQ(cell.Violations(), std::vector<std::string>{}) << Describe(cell);
  EXPECT_EQ(cell.Unfinished(), std::vector<std::string>{}) << Describe(cell);
}

TEST(FaultMatrix, AQuietDayRunsEveryTaskOnce) {
  Cell cell({});
  cell.RunFor(seconds(5));
  SubmitDay(cell);
  cell.RunFor(seconds(20));
  ExpectSound(cell);
  for (const auto& [name, record] : cell.callers()) {
    ASSERT_TRUE(record.answer) << name;
    EXPECT_EQ(record.answer->code, base::ResultCode::kAccepted) << name;
    EXPECT_EQ(record.starts.size(), record.spec.task_count) << name;
  }
}

/** Steps of a job's life, as times after its submission. */
const std::vector<base::Duration> kSteps = {
    milliseconds(-100), milliseconds(1),   milliseconds(3),   milliseconds(5),
    milliseconds(52),   milliseconds(56),  milliseconds(120), milliseconds(460),
    milliseconds(900),  milliseconds(1700)};

class FaultAtStep : public ::testing::TestWithParam<size_t> {};

TEST_P(FaultAtStep, HoldsWhatMustAlwaysHold) {
  const Fault fault = AllFaults()[GetParam()];
  for (const base::Duration step : kSteps) {
    SCOPED_TRACE(fault.name + " at " +
                 std::to_string(base::ToMilliseconds(step)) + " ms");
    Cell cell({});
    cell.RunFor(seconds(5));
    if (step.count() < 0) {
      fault.begin(cell);
      cell.RunFor(-step);
      SubmitDay(cell);
    } else {
      SubmitDay(cell);
      cell.RunFor(step);
      fault.begin(cell);
    }
    cell.RunFor(seconds(12));
    fault.end(cell);
    cell.RunFor(seconds(60));
    ExpectSound(cell);
  }
}

INSTANTIATE_TEST_SUITE_P(Matrix, FaultAtStep,
                         ::testing::Range<size_t>(0, AllFaults().size()),
                         [](const auto& info) {
                           std::string name = AllFaults()[info.param].name;
                           std::replace(name.begin(), name.end(), ' ', '_');
                           return name;
                         });

/** A small generator whose sequence is the same everywhere. */
class Sequence {
 public:
  explicit Sequence(uint64_t seed) : state(seed * 2 + 1) {}
  uint64_t Below(uint64_t bound) {
    constexpr uint64_t kFactor = 6364136223846793005;
    constexpr unsigned kHighBits = 33;
    this->state = this->state * kFactor + 1442695040888963407;
    return (this->state >> kHighBits) % bound;
  }

 private:
  uint64_t state;
};

void RunPair(uint64_t seed) {
  const std::vector<Fault> faults = AllFaults();
  Sequence sequence(seed);
  const Fault& first = faults[sequence.Below(faults.size())];
  const Fault& second = faults[sequence.Below(faults.size())];
  SCOPED_TRACE("seed " + std::to_string(seed) + ": " + first.name + " and " +
               second.name);
  Cell cell({.seed = seed});
  cell.RunFor(seconds(5));
  SubmitDay(cell);
  cell.RunFor(milliseconds(sequence.Below(1000)));
  first.begin(cell);
  cell.RunFor(milliseconds(sequence.Below(8000)));
  second.begin(cell);
  cell.RunFor(milliseconds(sequence.Below(8000)));
  first.end(cell);
  cell.RunFor(milliseconds(sequence.Below(8000)));
  second.end(cell);
  cell.RunFor(seconds(60));
  ExpectSound(cell);
}

uint64_t ReadVariable(const char* name, uint64_t preset) {
  const char* text = std::getenv(name);
  return text == nullptr ? preset : std::strtoull(text, nullptr, 10);
}

// One test for each seed, so that a seed with a fault can be named alone.
class FaultPair : public ::testing::TestWithParam<uint64_t> {};

TEST_P(FaultPair, HoldsWhatMustAlwaysHold) { RunPair(GetParam()); }

// scripts/faults sets the variables; CI runs the preset seeds.
INSTANTIATE_TEST_SUITE_P(
    Seeds, FaultPair,
    ::testing::Range(ReadVariable("AGATEPASS_FAULT_FROM", 1),
                     ReadVariable("AGATEPASS_FAULT_FROM", 1) +
                         ReadVariable("AGATEPASS_FAULT_SEEDS", 2000)),
    [](const auto& info) { return "seed" + std::to_string(info.param); });

}  // namespace
}  // namespace agatepass::faults
