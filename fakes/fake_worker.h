/** \file
 * A stand-in of the platform's worker over HTTP.
 */
#ifndef FAKES_FAKE_WORKER_H_
#define FAKES_FAKE_WORKER_H_

#include "absl/status/status.h"
#include "agatepass/base/event_loop.h"
#include "agatepass/base/http_server.h"
#include "fakes/worker_model.h"

namespace agatepass::fakes {

/** Serves a WorkerModel. GET /stats tells what it ran; POST /fault?name=X with
 * X one of none, fail_everything, hang switches a fault. */
class FakeWorker {
 public:
  FakeWorker(base::EventLoop& loop, const base::WorkerId& worker,
             const platform::Resources& total);

  /** Listens at `endpoint`; port 0 takes a free one. */
  absl::Status Listen(const base::Endpoint& endpoint);

  const base::Endpoint& endpoint() const { return this->server.endpoint(); }
  WorkerModel& model() { return this->worker; }

 private:
  void Receive(const base::HttpRequest& request,
               const base::HttpResponder& responder);
  std::string RenderStats() const;

  base::EventLoop& loop;
  base::HttpServer server;
  WorkerModel worker;
  bool hangs = false;
};

}  // namespace agatepass::fakes

#endif  // FAKES_FAKE_WORKER_H_
