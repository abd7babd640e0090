#include "agatepass/placement/policy.h"

namespace agatepass::placement {

Policy OrdinaryPolicy() { return {}; }

Policy PeakPolicy() {
  Policy policy;
  policy.preset = "peak";
  policy.lowest_preempting = Priority::kInteractive;
  policy.margins.factor = 1.25;
  return policy;
}

Policy MaintenancePolicy() {
  Policy policy;
  policy.preset = "maintenance";
  policy.lowest_started = Priority::kOrdinary;
  policy.pack_on_observed_use = false;
  return policy;
}

}  // namespace agatepass::placement
