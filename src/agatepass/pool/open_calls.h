/** \file
 * Registry of the callers' calls that the planner has not answered yet.
 */
#ifndef AGATEPASS_POOL_OPEN_CALLS_H_
#define AGATEPASS_POOL_OPEN_CALLS_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "agatepass/base/result_code.h"
#include "agatepass/pool/messages.h"

namespace agatepass::pool {

/** Holds the callback of each open call; each callback runs exactly once. */
class OpenCalls {
 public:
  /** Receives the answer to the call. */
  using Callback = std::function<void(const CallerAnswer&)>;

  /** Registers a call.
   * \param callback receives the answer.
   * \return id of the call, to be set in its answer. */
  CallId Add(Callback callback) {
    const CallId id = this->next_call_id++;
    this->calls.emplace(id, std::move(callback));
    return id;
  }

  /** Answers the call with the id in `answer`; no effect if that call has been
   * answered already. */
  void Answer(const CallerAnswer& answer) {
    const auto found = this->calls.find(answer.call);
    if (found == this->calls.end()) return;
    const Callback callback = std::move(found->second);
    this->calls.erase(found);
    callback(answer);
  }

  /** Answers all open calls with kOutcomeUnknown, as the planner's term has
   * ended: it will not answer them, and may or may not have executed them.
   * \param detail text for the callers. */
  void AnswerAllUnknown(std::string_view detail) {
    const std::map<CallId, Callback> open = std::exchange(this->calls, {});
    for (const auto& [id, callback] : open) {
      callback({.call = id,
                .code = base::ResultCode::kOutcomeUnknown,
                .term_ended = true,
                .detail = std::string(detail)});
    }
  }

 private:
  std::map<CallId, Callback> calls;
  CallId next_call_id = 1;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_OPEN_CALLS_H_
