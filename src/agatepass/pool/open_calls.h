/** \file
 * Calls of callers that the planner has not answered yet.
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

/** Keeps a callback for each open call; every one is run once. */
class OpenCalls {
 public:
  using Callback = std::function<void(const CallerAnswer&)>;

  /** Returns the call's id. */
  CallId Add(Callback callback) {
    const CallId id = this->next_call_id++;
    this->calls.emplace(id, std::move(callback));
    return id;
  }

  /** Answers a call; one that is answered already is left alone. */
  void Answer(const CallerAnswer& answer) {
    const auto found = this->calls.find(answer.call);
    if (found == this->calls.end()) return;
    const Callback callback = std::move(found->second);
    this->calls.erase(found);
    callback(answer);
  }

  /** Answers all calls, as nobody else will: a term that ends does not say
   * whether what it was asked is done. */
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
