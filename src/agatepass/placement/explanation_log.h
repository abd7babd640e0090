/** \file
 * A bounded memory of explanations, found by task or by job.
 */
#ifndef AGATEPASS_PLACEMENT_EXPLANATION_LOG_H_
#define AGATEPASS_PLACEMENT_EXPLANATION_LOG_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "agatepass/placement/explanation.h"

namespace agatepass::placement {

/** Keeps the latest explanations; the oldest is dropped for a new one.
 *
 * \code
 * ExplanationLog log(16384);
 * ExplanationId id = log.Add(std::move(explanation));
 * \endcode
 */
class ExplanationLog {
 public:
  explicit ExplanationLog(size_t capacity) : capacity(capacity) {
    // Growth would move all records within one decision.
    this->records.reserve(capacity);
  }

  /** Stores a record and gives it its id. */
  ExplanationId Add(Explanation explanation);

  /** Returns the latest record about a task, or null. */
  const Explanation* Find(const base::TaskId& task) const;

  /** Returns the latest record about any task of a job, or null. */
  const Explanation* Find(const base::JobId& job) const;

  /** Returns the record with `id`, or null if it was dropped. */
  const Explanation* Find(ExplanationId id) const;

 private:
  size_t capacity;
  ExplanationId next = 1;
  std::vector<Explanation> records;
  absl::flat_hash_map<base::TaskId, ExplanationId> by_task;
  absl::flat_hash_map<base::JobId, ExplanationId> by_job;
};

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_EXPLANATION_LOG_H_
