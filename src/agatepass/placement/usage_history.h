/** \file
 * What earlier tasks of a workload used, and how long they ran.
 */
#ifndef AGATEPASS_PLACEMENT_USAGE_HISTORY_H_
#define AGATEPASS_PLACEMENT_USAGE_HISTORY_H_

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "agatepass/base/time.h"
#include "agatepass/placement/policy.h"
#include "agatepass/platform/resources.h"

namespace agatepass::placement {

/** Learns use and run time of each workload from its ended tasks.
 *
 * \code
 * history.Record(workload, used, run_time);
 * if (auto grant = history.Grant(workload, declared, margins)) { ... }
 * \endcode
 */
class UsageHistory {
 public:
  /** Records one ended task. \param used its peak use. */
  void Record(uint32_t workload, const platform::Resources& declared,
              const platform::Resources& used, base::Duration run_time);

  /** Returns the room to grant to a task, or nothing while too few tasks have
   * ended. Accelerators are granted as declared. */
  std::optional<platform::Resources> Grant(uint32_t workload,
                                           const platform::Resources& declared,
                                           const Margins& margins);

  /** Returns a run time that nine of ten tasks kept below; nothing while too
   * few have ended. */
  std::optional<base::Duration> LongRunTime(uint32_t workload) const;

 private:
  // Tasks remembered of each workload.
  static constexpr uint32_t kWindow = 64;

  using Window = std::array<double, kWindow>;

  /** The middle and the high percentile of a window. */
  struct Spread {
    double middle = 0;
    double high = 0;
  };

  /** Use of one resource: as an amount, and as a part of what was declared. */
  struct ResourceUse {
    Window amounts{};
    Window ratios{};
    Spread amount;
    Spread ratio;

    void Record(uint32_t index, int64_t declared, int64_t used);
    void Recalculate(uint32_t count, double percentile);
    int64_t Grant(int64_t declared, double factor) const;
  };

  struct Samples {
    uint32_t recorded = 0;
    uint32_t calculated_at = 0;
    double percentile = -1;
    ResourceUse millicores;
    ResourceUse memory_mib;
    Window run_time{};
    double long_run_time = 0;
  };

  static Spread SpreadOf(const Window& values, uint32_t count,
                         double percentile);

  std::vector<Samples> workloads;
};

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_USAGE_HISTORY_H_
