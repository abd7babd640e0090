/** \file
 * A host's term of office, which ends once however many notices say so.
 */
#ifndef AGATEPASS_POOL_LEADERSHIP_TERM_H_
#define AGATEPASS_POOL_LEADERSHIP_TERM_H_

#include "agatepass/pool/messages.h"

namespace agatepass::pool {

/** The present term, if there is one.
 *
 * \code
 * OfficeTerm term;
 * term.Begin(412);
 * if (term.End(412)) DropPlanner();  // Only the first notice gets here.
 * \endcode
 */
class LeadershipTerm {
 public:
  /** A term begins. */
  void Begin(Fence fence) { this->current_fence = fence; }

  /** A notice says that the term of `fence` is over.
   * \return whether that is the present term, which is ended then. Notices of
   *     earlier terms, and of none, end nothing. */
  bool End(Fence fence) {
    if (this->current_fence == 0 || this->current_fence != fence) return false;
    this->current_fence = 0;
    return true;
  }

  /** Fence of the present term; 0 out of office. */
  Fence fence() const { return this->current_fence; }

 private:
  Fence current_fence = 0;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_LEADERSHIP_TERM_H_
