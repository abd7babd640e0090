/** \file
 * The leadership term of a host. Several events can report the end of the same
 * term; only the first one ends it.
 */
#ifndef AGATEPASS_POOL_LEADERSHIP_TERM_H_
#define AGATEPASS_POOL_LEADERSHIP_TERM_H_

#include "agatepass/pool/messages.h"

namespace agatepass::pool {

/** The current leadership term, if there is one.
 *
 * \code
 * LeadershipTerm term;
 * term.Begin(412);
 * if (term.End(412)) DropPlanner();  // Only on the first report.
 * \endcode
 */
class LeadershipTerm {
 public:
  /** Begins a term.
   * \param fence fence of the term, not 0. */
  void Begin(Fence fence) { this->current_fence = fence; }

  /** Ends the term with this fence if it is the current one.
   * \param fence fence of the term that is reported to be over; the fence of
   *     an earlier term, or 0, has no effect.
   * \return whether the current term was ended. */
  bool End(Fence fence) {
    if (this->current_fence == 0 || this->current_fence != fence) return false;
    this->current_fence = 0;
    return true;
  }

  /** Fence of the current term; 0 if this host is not the leader. */
  Fence fence() const { return this->current_fence; }

 private:
  Fence current_fence = 0;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_LEADERSHIP_TERM_H_
