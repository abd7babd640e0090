/** \file
 * What a worker has and a task needs: processors, memory and accelerators.
 */
#ifndef AGATEPASS_PLATFORM_RESOURCES_H_
#define AGATEPASS_PLATFORM_RESOURCES_H_

#include <algorithm>
#include <compare>
#include <cstdint>

namespace agatepass::platform {

/** An amount of each resource.
 *
 * \code
 * Resources free = worker.total - worker.used;
 * if (task.declared.FitsIn(free)) { ... }
 * \endcode
 */
struct Resources {
  /** Thousandths of a processor. */
  int64_t millicores = 0;
  /** Memory in mebibytes. */
  int64_t memory_mib = 0;
  /** Whole accelerators. */
  int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;

  /** Whether every amount is at most that of `room`. */
  constexpr bool FitsIn(const Resources& room) const {
    return this->millicores <= room.millicores &&
           this->memory_mib <= room.memory_mib &&
           this->accelerators <= room.accelerators;
  }

  /** Whether no amount is below zero. */
  constexpr bool IsValid() const {
    return this->millicores >= 0 && this->memory_mib >= 0 &&
           this->accelerators >= 0;
  }

  constexpr Resources& operator+=(const Resources& other) {
    this->millicores += other.millicores;
    this->memory_mib += other.memory_mib;
    this->accelerators += other.accelerators;
    return *this;
  }

  constexpr Resources& operator-=(const Resources& other) {
    this->millicores -= other.millicores;
    this->memory_mib -= other.memory_mib;
    this->accelerators -= other.accelerators;
    return *this;
  }

  friend constexpr Resources operator+(Resources left, const Resources& right) {
    return left += right;
  }

  friend constexpr Resources operator-(Resources left, const Resources& right) {
    return left -= right;
  }
};

/** Returns the larger amount of each resource. */
constexpr Resources Max(const Resources& left, const Resources& right) {
  return {.millicores = std::max(left.millicores, right.millicores),
          .memory_mib = std::max(left.memory_mib, right.memory_mib),
          .accelerators = std::max(left.accelerators, right.accelerators)};
}

}  // namespace agatepass::platform

#endif  // AGATEPASS_PLATFORM_RESOURCES_H_
