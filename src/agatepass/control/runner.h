/** \file
 * Carries out an invocation of agatepassctl.
 */
#ifndef AGATEPASS_CONTROL_RUNNER_H_
#define AGATEPASS_CONTROL_RUNNER_H_

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <limits>
#include <ostream>
#include <set>
#include <string>
#include <utility>

#include "agatepass/base/http_message.h"
#include "agatepass/base/time.h"
#include "agatepass/control/invocation.h"
#include "agatepass/control/present.h"
#include "agatepass/timeline/render.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace agatepass::control {

/** Something that sends requests to entry hosts and can wait. */
template <typename Client>
concept RequestSender = requires(Client& client, base::HttpRequest request,
                                 base::Duration time) {
  { client.Send(std::move(request)) } -> std::same_as<base::HttpOutcome>;
  { client.Wait(time) } -> std::same_as<void>;
};

/** Where an invocation writes to. */
struct Output {
  std::ostream& answers;
  std::ostream& faults;
  /** Whether the faults go to a terminal, so that progress is shown there. */
  bool terminal = false;
};

/** Pause between two looks at the time line that is followed. */
inline constexpr base::Duration kFollowPeriod = std::chrono::seconds(1);

/** Sends the requests of an invocation in order and prints the answers.
 *
 * A request that may have been received is never sent again here.
 */
template <RequestSender Client>
class Runner {
 public:
  Runner(Client& client, const Invocation& invocation, Output output)
      : client(client), invocation(invocation), output(output) {}

  /** Returns the exit code. */
  int Run() {
    size_t done = 0;
    for (const base::HttpRequest& request : this->invocation.requests) {
      if (this->invocation.follow) return this->Follow(request);
      const int code = this->SendUntilNoneRemain(request);
      if (code != 0) return code;
      this->ShowProgress(++done);
    }
    return this->worst;
  }

 private:
  int SendUntilNoneRemain(const base::HttpRequest& request) {
    int64_t before = std::numeric_limits<int64_t>::max();
    while (true) {
      const base::HttpOutcome outcome = this->client.Send(request);
      if (!Succeeded(outcome)) return this->Fail(outcome);
      this->Print(outcome.answer.body);
      const auto json =
          nlohmann::ordered_json::parse(outcome.answer.body, nullptr, false);
      this->NoteResults(json);
      const int64_t remaining = Remaining(json);
      // Asking again without headway would never end.
      const bool again = this->invocation.until_none_remain && remaining > 0 &&
                         remaining < before;
      if (!again) return 0;
      before = remaining;
      if (this->output.terminal) {
        this->output.faults << fmt::format("{} jobs remain\n", remaining);
      }
    }
  }

  static bool Succeeded(const base::HttpOutcome& outcome) {
    return outcome.delivery == base::Delivery::kAnswered &&
           outcome.answer.status < 400;
  }

  static int64_t Remaining(const nlohmann::ordered_json& json) {
    if (!json.is_object() || !json.contains("remaining")) return 0;
    const auto& remaining = json["remaining"];
    return remaining.is_number_integer() ? remaining.get<int64_t>() : 0;
  }

  // A bulk answer succeeds as a whole though some of its jobs were refused.
  void NoteResults(const nlohmann::ordered_json& json) {
    if (!json.is_object() || !json.contains("results")) return;
    if (!json["results"].is_array()) return;
    for (const auto& result : json["results"]) {
      if (!result.is_object() || !result.contains("code")) continue;
      if (!result["code"].is_string()) continue;
      const auto code =
          base::ParseResultCode(result["code"].get<std::string>());
      // Cancelled is what a cancellation is for.
      if (!code || (this->invocation.until_none_remain &&
                    ExitCodeOf(*code) ==
                        ExitCodeOf(base::ResultCode::kCancelledBeforeStart))) {
        continue;
      }
      this->worst = std::max(this->worst, ExitCodeOf(*code));
    }
  }

  int Fail(const base::HttpOutcome& outcome) {
    if (this->invocation.json && !outcome.answer.body.empty()) {
      this->output.answers << outcome.answer.body << '\n';
    }
    this->output.faults << RenderFailure(outcome);
    const int code = ExitCodeOf(ResultCodeOfOutcome(outcome));
    return code == 0 ? ExitCodeOf(base::ResultCode::kInternal) : code;
  }

  void Print(const std::string& body) {
    const std::string text = this->invocation.json
                                 ? body
                                 : RenderAnswer(body, this->invocation.view);
    this->output.answers << text;
    if (!text.empty() && text.back() != '\n') this->output.answers << '\n';
  }

  void ShowProgress(size_t done) {
    const size_t all = this->invocation.requests.size();
    if (!this->output.terminal || all < 2) return;
    this->output.faults << fmt::format("sent {} of {} parts\n", done, all);
  }

  int Follow(const base::HttpRequest& request) {
    std::set<std::pair<std::string, uint64_t>> shown;
    while (true) {
      const base::HttpOutcome outcome = this->client.Send(request);
      if (!Succeeded(outcome)) return this->Fail(outcome);
      auto line = timeline::ParseTimelineJson(outcome.answer.body);
      if (!line.ok()) {
        this->output.faults << std::string(line.status().message()) << '\n';
        return ExitCodeOf(base::ResultCode::kInternal);
      }
      std::erase_if(line->events, [&](const timeline::Event& event) {
        return !shown.emplace(event.host.value, event.sequence).second;
      });
      line->hosts.clear();
      if (!line->events.empty()) {
        this->output.answers << timeline::RenderTimelineText(*line)
                             << std::flush;
      }
      this->client.Wait(kFollowPeriod);
    }
  }

  Client& client;
  const Invocation& invocation;
  Output output;
  int worst = 0;
};

}  // namespace agatepass::control

#endif  // AGATEPASS_CONTROL_RUNNER_H_
