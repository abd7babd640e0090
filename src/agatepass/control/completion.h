/** \file
 * Completion of agatepassctl's commands in bash.
 */
#ifndef AGATEPASS_CONTROL_COMPLETION_H_
#define AGATEPASS_CONTROL_COMPLETION_H_

#include <string>

namespace agatepass::control {

/** Returns a script to be sourced by bash. */
std::string BashCompletion();

}  // namespace agatepass::control

#endif  // AGATEPASS_CONTROL_COMPLETION_H_
