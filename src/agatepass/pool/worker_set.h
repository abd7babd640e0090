/** \file
 * A set of workers of one planner, as a bit for each worker.
 */
#ifndef AGATEPASS_POOL_WORKER_SET_H_
#define AGATEPASS_POOL_WORKER_SET_H_

#include <cstddef>
#include <vector>

namespace agatepass::pool {

/** Holds workers by their index in the planner; each operation takes constant
 * time, apart from growth.
 *
 * \code
 * WorkerSet covered;
 * covered.Insert(worker.index);
 * covered.Contains(worker.index);  // true
 * \endcode
 */
class WorkerSet {
 public:
  /** Adds the worker with this index. */
  void Insert(size_t index) {
    if (index >= this->bits.size()) this->bits.resize(index + 1);
    this->bits[index] = true;
  }

  /** Removes the worker with this index if it is present. */
  void Remove(size_t index) {
    if (index < this->bits.size()) this->bits[index] = false;
  }

  /** Whether the worker with this index is present. */
  bool Contains(size_t index) const {
    return index < this->bits.size() && this->bits[index];
  }

 private:
  std::vector<bool> bits;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_WORKER_SET_H_
