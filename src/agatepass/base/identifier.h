/** \file
 * Identifiers as types of their own, so that a worker cannot be passed where a
 * task is meant.
 */
#ifndef AGATEPASS_BASE_IDENTIFIER_H_
#define AGATEPASS_BASE_IDENTIFIER_H_

#include <compare>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace agatepass::base {

/** A text identifier of the kind named by `Tag`.
 *
 * \code
 * WorkerId worker("uus-a-w17");
 * if (worker.empty()) { ... }
 * \endcode
 */
template <typename Tag>
struct Identifier {
  std::string value;

  Identifier() = default;
  explicit Identifier(std::string_view text) : value(text) {}

  /** Whether no identifier is set. */
  bool empty() const { return this->value.empty(); }

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Identifier&) const = default;

  template <typename Hasher>
  friend Hasher AbslHashValue(Hasher hasher, const Identifier& identifier) {
    return Hasher::combine(std::move(hasher), identifier.value);
  }

  friend std::ostream& operator<<(std::ostream& out,
                                  const Identifier& identifier) {
    return out << identifier.value;
  }
};

struct DataCentreTag;
struct HostTag;
struct JobTag;
struct RackTag;
struct RegionTag;
struct RequestTag;
struct ServiceTag;
struct TaskTag;
struct TeamTag;
struct UpstreamTag;
struct WorkerTag;
struct WorkloadTag;

/** An entry host: a host that runs agatepassd. */
using HostId = Identifier<HostTag>;
using DataCentreId = Identifier<DataCentreTag>;
using RegionId = Identifier<RegionTag>;
using RackId = Identifier<RackTag>;
using WorkerId = Identifier<WorkerTag>;
using TeamId = Identifier<TeamTag>;
using WorkloadId = Identifier<WorkloadTag>;
using JobId = Identifier<JobTag>;
using TaskId = Identifier<TaskTag>;
using ServiceId = Identifier<ServiceTag>;
using UpstreamId = Identifier<UpstreamTag>;
using RequestId = Identifier<RequestTag>;

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_IDENTIFIER_H_
