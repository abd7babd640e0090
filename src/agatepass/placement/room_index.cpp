#include "agatepass/placement/room_index.h"

#include <algorithm>

namespace agatepass::placement {
namespace {

// One step of the finest class: 50 millicores, 64 MiB.
constexpr int64_t kMillicoresPerStep = 50;
constexpr int64_t kMebibytesPerStep = 64;
// Classes within each doubling of the amount, as a power of two.
constexpr uint32_t kClassBits = 3;

/** Returns the class of `steps`: exact below 8, then 8 classes a doubling. */
size_t ClassOf(uint64_t steps) {
  constexpr uint64_t kPerDoubling = uint64_t{1} << kClassBits;
  if (steps < kPerDoubling) return steps;
  const auto shift =
      static_cast<uint32_t>(std::bit_width(steps)) - kClassBits - 1;
  const size_t found =
      ((shift + 1) << kClassBits) + ((steps >> shift) & (kPerDoubling - 1));
  return std::min(found, RoomIndex::kClasses - 1);
}

}  // namespace

uint32_t AcceleratorLevel(int64_t accelerators) {
  return static_cast<uint32_t>(
      std::clamp<int64_t>(accelerators, 0, kMaxAcceleratorLevel));
}

size_t RoomIndex::ProcessorClass(int64_t millicores) {
  return ClassOf(static_cast<uint64_t>(millicores / kMillicoresPerStep));
}

size_t RoomIndex::MemoryClass(int64_t memory_mib) {
  return ClassOf(static_cast<uint64_t>(memory_mib / kMebibytesPerStep));
}

uint32_t RoomIndex::FindPool(const PoolKey& key) {
  for (uint32_t i = 0; i < this->pools.size(); ++i) {
    if (this->pools[i]->key == key) return i;
  }
  this->pools.push_back(std::make_unique<Pool>());
  this->pools.back()->key = key;
  return static_cast<uint32_t>(this->pools.size() - 1);
}

void RoomIndex::Put(WorkerSlot slot, const PoolKey& key,
                    const platform::Resources& room) {
  this->Remove(slot);
  if (!room.IsValid()) return;
  if (slot >= this->positions.size()) this->positions.resize(slot + 1);
  Position& position = this->positions[slot];
  position.present = true;
  position.pool = this->FindPool(key);
  position.row = static_cast<uint32_t>(ProcessorClass(room.millicores));
  position.column = static_cast<uint32_t>(MemoryClass(room.memory_mib));
  Pool& pool = *this->pools[position.pool];
  auto& row = pool.rows[position.row];
  if (!row) row = std::make_unique<Row>();
  auto& entries = row->classes[position.column];
  position.entry = static_cast<uint32_t>(entries.size());
  entries.push_back({.slot = slot, .room = room});
  row->occupied[position.column / 64] |= uint64_t{1} << (position.column % 64);
  pool.occupied[position.row / 64] |= uint64_t{1} << (position.row % 64);
  ++row->members;
  ++pool.members;
  ++this->members;
}

void RoomIndex::Remove(WorkerSlot slot) {
  if (slot >= this->positions.size() || !this->positions[slot].present) return;
  Position& position = this->positions[slot];
  Pool& pool = *this->pools[position.pool];
  Row& row = *pool.rows[position.row];
  auto& entries = row.classes[position.column];
  entries[position.entry] = entries.back();
  this->positions[entries[position.entry].slot].entry = position.entry;
  entries.pop_back();
  if (entries.empty()) {
    row.occupied[position.column / 64] &=
        ~(uint64_t{1} << (position.column % 64));
  }
  if (--row.members == 0) {
    pool.occupied[position.row / 64] &= ~(uint64_t{1} << (position.row % 64));
  }
  --pool.members;
  --this->members;
  position.present = false;
}

}  // namespace agatepass::placement
