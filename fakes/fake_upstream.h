/** \file
 * A stand-in for one instance of a service: takes time, counts runs, and can
 * be slow, silent, lying or leaving.
 */
#ifndef AGATEPASS_FAKES_FAKE_UPSTREAM_H_
#define AGATEPASS_FAKES_FAKE_UPSTREAM_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "agatepass/base/event_loop.h"
#include "agatepass/base/http_server.h"

namespace agatepass::fakes {

/** How a fake upstream misbehaves. */
enum class UpstreamFault : uint8_t {
  kNone,
  /** Takes ten times its service time. */
  kSlow,
  /** Runs the request and never answers. */
  kSilent,
  /** Closes the connection in the middle of the answer. */
  kCut,
  /** Sends more bytes than the length that it declares. */
  kWrongLength,
  /** Answers with the id of another request. */
  kWrongId,
  /** Answers, and says that it is leaving. */
  kLeaving,
  /** Says that it did not run the request. */
  kNotRun,
};

/** Parses the name of a fault, such as "wrong-length"; nothing if there is none
 * of that name. */
std::optional<UpstreamFault> ParseUpstreamFault(std::string_view name);

/** Settings of one fake upstream. */
struct FakeUpstreamSettings {
  int slots = 8;
  base::Duration service_time = std::chrono::milliseconds(5);
  UpstreamFault fault = UpstreamFault::kNone;
};

/** Serves any path; GET /v1/stats gives the counts and GET /v1/health a sign of
 * life.
 *
 * The answer to a POST is the request's body, after the service time.
 */
class FakeUpstream {
 public:
  FakeUpstream(base::EventLoop& loop, const FakeUpstreamSettings& settings);

  /** Listens on `endpoint`. */
  absl::Status Listen(const base::Endpoint& endpoint) {
    return this->server.Listen(endpoint);
  }

  /** The address listened on. */
  const base::Endpoint& endpoint() const { return this->server.endpoint(); }

  /** Changes the fault from now on. */
  void SetFault(UpstreamFault fault) { this->settings.fault = fault; }

  /** Runs so far of the request called `id`. */
  int RunsOf(const std::string& id) const;

  /** Runs so far of all requests. */
  int runs() const { return this->all_runs; }

  /** The most requests that were in flight at the same time. */
  int most_in_flight() const { return this->most; }

 private:
  void Receive(const base::HttpRequest& request,
               const base::HttpResponder& responder);
  void Answer(const base::HttpRequest& request,
              const base::HttpResponder& responder) const;
  base::HttpAnswer Stats() const;

  base::EventLoop& loop;
  FakeUpstreamSettings settings;
  std::map<std::string, int> runs_by_id;
  std::map<uint64_t, std::unique_ptr<base::LoopEvent>> timers;
  uint64_t last_timer = 0;
  int all_runs = 0;
  int in_flight = 0;
  int most = 0;
  int above_slots = 0;
  base::HttpServer server;
};

}  // namespace agatepass::fakes

#endif  // AGATEPASS_FAKES_FAKE_UPSTREAM_H_
