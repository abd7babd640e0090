/** \file
 * What an entry host wants done by its surroundings: calls, messages, answers
 * and events.
 */
#ifndef AGATEPASS_NODE_EFFECTS_H_
#define AGATEPASS_NODE_EFFECTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/result_code.h"
#include "agatepass/jobs/effects.h"
#include "agatepass/peers/messages.h"
#include "agatepass/platform/worker.h"
#include "agatepass/timeline/event.h"

namespace agatepass::node {

/** A command to a worker; its end goes to EntryHost::OnWorkerReply. */
struct NumberedWorkerCall {
  uint64_t call_id = 0;
  platform::WorkerCall call;
};

/** A message to another entry host, without a promise that it arrives. */
struct PeerSend {
  base::HostId to;
  peers::Message message;
};

/** One entry for the time line. */
struct NodeEvent {
  timeline::EventKind kind = timeline::EventKind::kFaultSeen;
  std::string subject;
  std::string parent;
  base::ResultCode code = base::ResultCode::kOk;
  std::string detail;
};

/** Everything that one input led to, in order within each list. */
struct Effects {
  std::vector<jobs::NumberedStoreCall> store_calls;
  std::vector<NumberedWorkerCall> worker_calls;
  std::vector<jobs::SubmissionAnswer> submissions;
  std::vector<jobs::CancelAnswer> cancels;
  std::vector<jobs::SettleAnswer> settles;
  std::vector<PeerSend> peer_sends;
  std::vector<NodeEvent> events;
  /** Another host has adopted this one's jobs: the process must exit. */
  bool fenced = false;
};

}  // namespace agatepass::node

#endif  // AGATEPASS_NODE_EFFECTS_H_
