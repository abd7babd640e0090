/** \file
 * The memory that accepted work may take.
 */
#ifndef AGATEPASS_POOL_MEMORY_BUDGET_H_
#define AGATEPASS_POOL_MEMORY_BUDGET_H_

#include <cstddef>

namespace agatepass::pool {

/** Counts estimated bytes against a limit. Submissions may fill a part of it:
 * the rest is for occurrences of jobs that were accepted before.
 *
 * \code
 * if (!budget.FitsSubmission(bytes)) return Reject(job);
 * budget.Add(bytes);
 * \endcode
 */
class MemoryBudget {
 public:
  explicit MemoryBudget(size_t limit_bytes) : limit(limit_bytes) {}

  bool Fits(size_t bytes) const { return this->used + bytes <= this->limit; }

  bool FitsSubmission(size_t bytes) const {
    const auto part = static_cast<size_t>(kSubmissionShare *
                                          static_cast<double>(this->limit));
    return this->used + bytes <= part;
  }

  void Add(size_t bytes) { this->used += bytes; }
  void Release(size_t bytes) { this->used -= bytes; }

  /** Bytes that are in use. */
  size_t held() const { return this->used; }

 private:
  static constexpr double kSubmissionShare = 0.75;

  size_t limit;
  size_t used = 0;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_MEMORY_BUDGET_H_
