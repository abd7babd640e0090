#include "agatepass/platform/worker_client.h"

#include <utility>

#include "agatepass/platform/worker_codec.h"

namespace agatepass::platform {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;

WorkerReply ToReply(const base::HttpOutcome& outcome) {
  WorkerReply reply;
  if (outcome.delivery != base::Delivery::kAnswered) {
    reply.outcome = outcome.delivery == base::Delivery::kNotSent
                        ? Outcome::kNotSent
                        : Outcome::kUnknown;
    return reply;
  }
  absl::StatusOr<WorkerReply> decoded = DecodeWorkerReply(outcome.answer.body);
  if (!decoded.ok()) {
    reply.outcome = Outcome::kUnknown;
    return reply;
  }
  reply = *std::move(decoded);
  switch (outcome.answer.status) {
    case kHttpOk:
      reply.outcome = Outcome::kDone;
      break;
    case kHttpConflict:
      reply.outcome = Outcome::kRefused;
      break;
    default:
      reply.outcome = Outcome::kUnknown;
  }
  return reply;
}

}  // namespace

WorkerClient::WorkerClient(base::EventLoop& loop)
    : loop(loop), client(loop, {}) {}

void WorkerClient::SetHosts(std::span<const HostRecord> hosts) {
  for (const HostRecord& host : hosts) {
    if (host.role != HostRole::kWorker) continue;
    this->endpoints[base::WorkerId(host.name)] = host.endpoint;
  }
}

void WorkerClient::Call(const WorkerCall& call, WorkerCallback callback) {
  const auto entry = this->endpoints.find(call.worker);
  if (entry == this->endpoints.end()) {
    this->loop.Post([callback = std::move(callback)] { callback({}); });
    return;
  }
  base::HttpRequest request;
  request.method = base::HttpMethod::kPost;
  request.path = WorkerPath(call.verb);
  request.body = EncodeWorkerCall(call);
  this->client.Send(
      entry->second, request, call.timeout,
      [callback = std::move(callback)](const base::HttpOutcome& outcome) {
        callback(ToReply(outcome));
      });
}

}  // namespace agatepass::platform
