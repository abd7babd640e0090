#include "fakes/fake_store.h"

#include <utility>

#include "agatepass/base/text.h"
#include "agatepass/platform/store_client.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace agatepass::fakes {

using base::FindHeader;
using base::HttpAnswer;
using base::HttpMethod;
using platform::Outcome;
using platform::StoreCall;
using platform::StoreReply;
using platform::StoreVerb;

namespace {

constexpr base::Duration kWatchCheckPeriod = std::chrono::milliseconds(10);
constexpr base::HttpServerLimits kLimits{.body_bytes = size_t{1} << 20U};

int64_t ReadNumber(const base::HttpRequest& request, std::string_view name) {
  return base::ParseNumber<int64_t>(FindHeader(request.query, name))
      .value_or(0);
}

StoreCall DecodeCall(const base::HttpRequest& request) {
  StoreCall call;
  call.key = FindHeader(request.query, "key");
  call.value = request.body;
  call.expected = ReadNumber(request, "expected");
  call.lease = std::chrono::milliseconds(ReadNumber(request, "lease_ms"));
  if (request.path == "/v1/list") {
    call.verb = StoreVerb::kList;
    call.key = FindHeader(request.query, "prefix");
  } else if (request.path == "/v1/watch") {
    call.verb = StoreVerb::kWatch;
    call.expected = ReadNumber(request, "after");
    call.timeout = std::chrono::milliseconds(ReadNumber(request, "wait_ms"));
  } else if (request.method == HttpMethod::kPut) {
    call.verb = StoreVerb::kCompareAndSwap;
  } else if (request.method == HttpMethod::kDelete) {
    call.verb = StoreVerb::kDelete;
  }
  return call;
}

HttpAnswer EncodeReply(const StoreCall& call, const StoreReply& reply) {
  HttpAnswer answer;
  answer.status = reply.outcome == Outcome::kRefused ? 409 : 200;
  answer.headers.push_back(
      {platform::kStoreRevisionHeader, std::to_string(reply.store_revision)});
  if (call.verb == StoreVerb::kList) {
    nlohmann::json entries = nlohmann::json::array();
    for (const platform::StoreEntry& entry : reply.entries) {
      entries.push_back({{"key", entry.key},
                         {"value", entry.value},
                         {"revision", entry.revision}});
    }
    answer.body = nlohmann::json{{"entries", std::move(entries)}}.dump();
    return answer;
  }
  const platform::StoreEntry& entry = reply.entries.front();
  answer.headers.push_back(
      {platform::kRevisionHeader, std::to_string(entry.revision)});
  const bool wrote =
      call.verb == StoreVerb::kCompareAndSwap && answer.status == 200;
  if (!wrote) answer.body = entry.value;
  return answer;
}

}  // namespace

FakeStore::FakeStore(base::EventLoop& loop)
    : loop(loop),
      server(loop, kLimits,
             [this](const base::HttpRequest& request,
                    const base::HttpResponder& responder) {
               this->Receive(request, responder);
             }) {
  this->timer = loop.Every(kWatchCheckPeriod,
                           [this] { this->AnswerWatches(this->loop.Now()); });
}

absl::Status FakeStore::Listen(const base::Endpoint& endpoint) {
  return this->server.Listen(endpoint);
}

void FakeStore::Receive(const base::HttpRequest& request,
                        const base::HttpResponder& responder) {
  if (request.path == "/fault" || request.path == "/stats") {
    this->Control(request, responder);
    return;
  }
  ++this->calls;
  this->bytes += request.body.size();
  if (this->fault == StoreFault::kHang) return;
  if (this->fault == StoreFault::kError) {
    responder.Respond({.status = 503});
    return;
  }
  const StoreCall call = DecodeCall(request);
  const base::Instant now = this->loop.Now();
  if (call.verb == StoreVerb::kWatch &&
      !this->store.HasChanged(call.key, call.expected)) {
    this->watches.push_back({call, responder, now + call.timeout});
    return;
  }
  const StoreReply reply = this->store.Handle(call, now);
  const bool writes = call.verb == StoreVerb::kCompareAndSwap ||
                      call.verb == StoreVerb::kDelete;
  if (this->fault == StoreFault::kLoseAnswers && writes) return;
  responder.Respond(EncodeReply(call, reply));
}

void FakeStore::Control(const base::HttpRequest& request,
                        const base::HttpResponder& responder) {
  if (request.path == "/fault") {
    const std::string_view name = FindHeader(request.query, "name");
    this->fault = name == "hang"           ? StoreFault::kHang
                  : name == "lose_answers" ? StoreFault::kLoseAnswers
                  : name == "error"        ? StoreFault::kError
                                           : StoreFault::kNone;
  }
  responder.Respond(
      {.status = 200,
       .body = fmt::format(R"({{"calls":{},"writes":{},"bytes":{}}})",
                           this->calls, this->store.writes(), this->bytes)});
}

void FakeStore::AnswerWatches(base::Instant now) {
  if (this->fault == StoreFault::kHang) return;
  for (auto watch = this->watches.begin(); watch != this->watches.end();) {
    const bool changed =
        this->store.HasChanged(watch->call.key, watch->call.expected);
    if (!changed && now < watch->ends) {
      ++watch;
      continue;
    }
    watch->responder.Respond(
        EncodeReply(watch->call, this->store.Handle(watch->call, now)));
    watch = this->watches.erase(watch);
  }
}

}  // namespace agatepass::fakes
