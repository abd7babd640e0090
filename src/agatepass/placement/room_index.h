/** \file
 * An index of workers by the room they have left, so that a decision looks at a
 * few fitting workers and never at all of them.
 *
 * Room is sorted into classes of processors (rows) and of memory (columns) that
 * grow geometrically; bit maps tell which classes hold workers. The number of
 * classes does not depend on the number of workers.
 */
#ifndef AGATEPASS_PLACEMENT_ROOM_INDEX_H_
#define AGATEPASS_PLACEMENT_ROOM_INDEX_H_

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "agatepass/platform/resources.h"

namespace agatepass::placement {

/** Place of a worker in the cell's tables. */
using WorkerSlot = uint32_t;

/** What the workers of one pool have in common, besides their room. */
struct PoolKey {
  /** Label that the worker is reserved for; 0 for none. */
  uint32_t reserved_label = 0;
  /** Labels under a separation rule that run there, one bit each. */
  uint64_t present_labels = 0;
  /** Free accelerators, up to kMaxAcceleratorLevel. */
  uint32_t accelerator_level = 0;
  /** Whether the room is held for a gang. */
  bool held = false;

  bool operator==(const PoolKey&) const = default;
};

inline constexpr uint32_t kMaxAcceleratorLevel = 8;

/** Returns the level of `accelerators` free ones. */
uint32_t AcceleratorLevel(int64_t accelerators);

/** Workers in pools, and in each pool by room.
 *
 * \code
 * index.Put(slot, key, room);
 * index.Visit(need, 4, [](const PoolKey&) { return true; },
 *             [&](WorkerSlot slot, const Resources& room) { ...; return true;
 * }); \endcode
 */
class RoomIndex {
 public:
  static constexpr size_t kClasses = 128;

  /** Inserts or moves a worker; room that is below zero takes it out. */
  void Put(WorkerSlot slot, const PoolKey& key,
           const platform::Resources& room);

  /** Takes a worker out; nothing happens if it is not in. */
  void Remove(WorkerSlot slot);

  /** Visits workers with room for `need`, least processor room first.
   * \param per_class most workers visited of each class of room.
   * \param allowed whether workers of a pool may be visited.
   * \param visit called with slot and room; false ends the visit of the pool.
   */
  template <typename Allowed, typename Visitor>
  void Visit(const platform::Resources& need, size_t per_class,
             Allowed&& allowed, Visitor&& visit) const;

  /** Calls `count` with the key of each pool, its number of workers and the
   * number of those surely short of processors for `need`. */
  template <typename Counter>
  void CountPools(const platform::Resources& need, Counter&& count) const;

  /** Workers in the index. */
  size_t size() const { return this->members; }

 private:
  struct Entry {
    WorkerSlot slot = 0;
    platform::Resources room;
  };

  struct Row {
    std::array<uint64_t, 2> occupied{};
    uint32_t members = 0;
    std::array<std::vector<Entry>, kClasses> classes;
  };

  struct Pool {
    PoolKey key;
    uint32_t members = 0;
    std::array<uint64_t, 2> occupied{};
    std::array<std::unique_ptr<Row>, kClasses> rows;
  };

  struct Position {
    bool present = false;
    uint32_t pool = 0;
    uint32_t row = 0;
    uint32_t column = 0;
    uint32_t entry = 0;
  };

  static size_t ProcessorClass(int64_t millicores);
  static size_t MemoryClass(int64_t memory_mib);
  static size_t NextSet(const std::array<uint64_t, 2>& bits, size_t from);

  template <typename Visitor>
  static bool VisitRow(const Row& row, size_t first_column,
                       const platform::Resources& need, size_t per_class,
                       Visitor& visit);
  uint32_t FindPool(const PoolKey& key);

  std::vector<std::unique_ptr<Pool>> pools;
  std::vector<Position> positions;
  size_t members = 0;
};

inline size_t RoomIndex::NextSet(const std::array<uint64_t, 2>& bits,
                                 size_t from) {
  for (size_t word = from / 64; word < bits.size(); ++word) {
    uint64_t rest = bits[word];
    if (word == from / 64) rest &= ~uint64_t{0} << (from % 64);
    if (rest != 0) {
      return word * 64 + static_cast<size_t>(std::countr_zero(rest));
    }
  }
  return kClasses;
}

template <typename Visitor>
bool RoomIndex::VisitRow(const Row& row, size_t first_column,
                         const platform::Resources& need, size_t per_class,
                         Visitor& visit) {
  for (size_t column = NextSet(row.occupied, first_column); column < kClasses;
       column = NextSet(row.occupied, column + 1)) {
    size_t visited = 0;
    for (const Entry& entry : row.classes[column]) {
      if (!need.FitsIn(entry.room)) continue;
      if (!visit(entry.slot, entry.room)) return false;
      if (++visited == per_class) break;
    }
  }
  return true;
}

template <typename Allowed, typename Visitor>
void RoomIndex::Visit(const platform::Resources& need, size_t per_class,
                      Allowed&& allowed, Visitor&& visit) const {
  const uint32_t level = AcceleratorLevel(need.accelerators);
  const size_t first_row = ProcessorClass(need.millicores);
  const size_t first_column = MemoryClass(need.memory_mib);
  for (const auto& pool : this->pools) {
    if (pool->members == 0 || pool->key.accelerator_level < level) continue;
    if (!allowed(pool->key)) continue;
    for (size_t row = NextSet(pool->occupied, first_row); row < kClasses;
         row = NextSet(pool->occupied, row + 1)) {
      if (!VisitRow(*pool->rows[row], first_column, need, per_class, visit)) {
        break;
      }
    }
  }
}

template <typename Counter>
void RoomIndex::CountPools(const platform::Resources& need,
                           Counter&& count) const {
  const size_t first_row = ProcessorClass(need.millicores);
  for (const auto& pool : this->pools) {
    if (pool->members == 0) continue;
    uint32_t below = 0;
    for (size_t row = NextSet(pool->occupied, 0); row < first_row;
         row = NextSet(pool->occupied, row + 1)) {
      below += pool->rows[row]->members;
    }
    count(pool->key, pool->members, below);
  }
}

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_ROOM_INDEX_H_
