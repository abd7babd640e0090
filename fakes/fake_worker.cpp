#include "fakes/fake_worker.h"

#include "agatepass/platform/worker_codec.h"
#include "nlohmann/json.hpp"

namespace agatepass::fakes {

using platform::Outcome;

FakeWorker::FakeWorker(base::EventLoop& loop, const base::WorkerId& worker,
                       const platform::Resources& total)
    : loop(loop),
      server(loop, {},
             [this](const base::HttpRequest& request,
                    const base::HttpResponder& responder) {
               this->Receive(request, responder);
             }),
      worker(worker, total) {}

absl::Status FakeWorker::Listen(const base::Endpoint& endpoint) {
  return this->server.Listen(endpoint);
}

void FakeWorker::Receive(const base::HttpRequest& request,
                         const base::HttpResponder& responder) {
  if (request.path == "/stats" || request.path == "/fault") {
    const std::string_view name = base::FindHeader(request.query, "name");
    if (request.path == "/fault") {
      this->hangs = name == "hang";
      this->worker.FailEverything(name == "fail_everything");
    }
    responder.Respond({.status = 200, .body = this->RenderStats()});
    return;
  }
  if (this->hangs) return;
  const absl::StatusOr<platform::WorkerCall> call =
      platform::DecodeWorkerCall(request.path, request.body);
  if (!call.ok()) {
    responder.Respond(
        {.status = 400, .body = std::string(call.status().message())});
    return;
  }
  const platform::WorkerReply reply =
      this->worker.Handle(*call, this->loop.Now());
  responder.Respond({.status = reply.outcome == Outcome::kDone ? 200 : 409,
                     .body = platform::EncodeWorkerReply(reply)});
}

std::string FakeWorker::RenderStats() const {
  nlohmann::json starts = nlohmann::json::object();
  for (const auto& [task, count] : this->worker.starts()) {
    starts[task.value] = count;
  }
  const platform::Resources committed = this->worker.committed();
  return nlohmann::json{{"starts", std::move(starts)},
                        {"overloaded", this->worker.overloaded()},
                        {"millicores", committed.millicores},
                        {"memory_mib", committed.memory_mib}}
      .dump();
}

}  // namespace agatepass::fakes
