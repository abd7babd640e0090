/** \file
 * The HTTP interface for callers and operators; docs/API.md describes it.
 */
#ifndef AGATEPASS_GATE_GATE_H_
#define AGATEPASS_GATE_GATE_H_

#include <functional>
#include <string_view>

#include "absl/status/status.h"
#include "agatepass/base/event_loop.h"
#include "agatepass/base/http_server.h"
#include "agatepass/gate/access.h"
#include "agatepass/node/host_task.h"

namespace agatepass::gate {

/** Answers requests out of one HostTask.
 *
 * \code
 * Gate gate(loop, task);
 * absl::Status status = gate.Listen();
 * \endcode
 */
class Gate {
 public:
  Gate(base::EventLoop& loop, node::HostTask& task);

  /** Listens at the address in the settings. */
  absl::Status Listen();

  /** Called when an operator asks this host to stop. */
  void OnDrain(std::function<void()> handler) {
    this->on_drain = std::move(handler);
  }

  /** Closes the listening socket; requests in flight are answered. */
  void StopListening() { this->server.StopListening(); }

  /** Requests received and not yet answered. */
  size_t in_flight() const { return this->server.in_flight(); }

 private:
  /** One request on its way through the routes. */
  struct Visit {
    const base::HttpRequest& request;
    const base::HttpResponder& responder;
    const Caller& caller;
  };

  using Route = void (Gate::*)(const Visit& visit, std::string_view rest);

  /** One row of the table of routes. */
  struct RouteRow {
    base::HttpMethod method;
    std::string_view prefix;
    bool operators_only;
    Route route;
  };

  static std::span<const RouteRow> Routes();

  void Receive(const base::HttpRequest& request,
               const base::HttpResponder& responder);
  bool AnswerPublic(const base::HttpRequest& request,
                    const base::HttpResponder& responder);
  void Dispatch(const Visit& visit);

  base::TeamId TeamFor(const Caller& caller, const base::JobId& job) const;
  void SubmitJobs(const Visit& visit, std::string_view rest);
  void SubmitBulk(const Visit& visit, const std::vector<jobs::JobSpec>& specs);
  void ShowJob(const Visit& visit, std::string_view rest);
  void ListJobs(const Visit& visit, std::string_view rest);
  void CancelJob(const Visit& visit, std::string_view rest);
  void ShowWhy(const Visit& visit, std::string_view rest);
  void ShowHosts(const Visit& visit, std::string_view rest);
  void ShowWorkers(const Visit& visit, std::string_view rest);
  void ShowUpstreams(const Visit& visit, std::string_view rest);
  void ShowTimeline(const Visit& visit, std::string_view rest);
  void ShowConfig(const Visit& visit, std::string_view rest);
  void PutConfig(const Visit& visit, std::string_view rest);
  void CheckConfig(const Visit& visit, std::string_view rest);
  void ShowConfigStatus(const Visit& visit, std::string_view rest);
  void ShowPresets(const Visit& visit, std::string_view rest);
  void UsePreset(const Visit& visit, std::string_view rest);
  void SendPut(const Visit& visit, config::PutRequest request);
  void StartDrain(const Visit& visit, std::string_view rest);
  void SettleTask(const Visit& visit, std::string_view rest);
  void ForwardToService(const Visit& visit, std::string_view rest);

  base::EventLoop& loop;
  node::HostTask& task;
  Access access;
  std::function<void()> on_drain;
  uint64_t next_request = 1;
  base::HttpServer server;
};

}  // namespace agatepass::gate

#endif  // AGATEPASS_GATE_GATE_H_
