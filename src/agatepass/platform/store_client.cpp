#include "agatepass/platform/store_client.h"

#include <algorithm>
#include <utility>

#include "agatepass/base/text.h"
#include "nlohmann/json.hpp"

namespace agatepass::platform {

namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpNoContent = 204;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
// A watch is answered at its time-out; the answer needs time to travel.
constexpr base::Duration kWatchMargin = std::chrono::seconds(1);

Revision ReadRevision(const base::HttpAnswer& answer, std::string_view header) {
  return base::ParseNumber<Revision>(base::FindHeader(answer.headers, header))
      .value_or(0);
}

Outcome ToOutcome(const base::HttpOutcome& outcome) {
  if (outcome.delivery == base::Delivery::kNotSent) return Outcome::kNotSent;
  if (outcome.delivery == base::Delivery::kUnknown) return Outcome::kUnknown;
  switch (outcome.answer.status) {
    case kHttpOk:
    case kHttpNoContent:
    case kHttpNotFound:
      return Outcome::kDone;
    case kHttpConflict:
      return Outcome::kRefused;
    default:
      // A fault of the store says nothing of what it did before.
      return Outcome::kUnknown;
  }
}

bool ReadList(const std::string& body, StoreReply* reply) {
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object() || !document.contains("entries")) return false;
  for (const json& entry : document["entries"]) {
    reply->entries.push_back({entry.value("key", ""), entry.value("value", ""),
                              entry.value("revision", Revision{0})});
  }
  return true;
}

}  // namespace

base::HttpRequest EncodeStoreCall(const StoreCall& call) {
  base::HttpRequest request;
  request.path = "/v1/kv";
  request.query.push_back({"key", call.key});
  switch (call.verb) {
    case StoreVerb::kGet:
      break;
    case StoreVerb::kCompareAndSwap:
      request.method = base::HttpMethod::kPut;
      request.body = call.value;
      request.query.push_back({"expected", std::to_string(call.expected)});
      request.query.push_back(
          {"lease_ms", std::to_string(base::ToMilliseconds(call.lease))});
      break;
    case StoreVerb::kDelete:
      request.method = base::HttpMethod::kDelete;
      request.query.push_back({"expected", std::to_string(call.expected)});
      break;
    case StoreVerb::kList:
      request.path = "/v1/list";
      request.query = {{"prefix", call.key}};
      break;
    case StoreVerb::kWatch:
      request.path = "/v1/watch";
      request.query.push_back({"after", std::to_string(call.expected)});
      request.query.push_back(
          {"wait_ms", std::to_string(base::ToMilliseconds(call.timeout))});
      break;
  }
  return request;
}

StoreReply DecodeStoreReply(const StoreCall& call,
                            const base::HttpOutcome& outcome) {
  StoreReply reply;
  reply.outcome = ToOutcome(outcome);
  if (outcome.delivery != base::Delivery::kAnswered) return reply;
  reply.store_revision = ReadRevision(outcome.answer, kStoreRevisionHeader);
  if (call.verb == StoreVerb::kList) {
    if (reply.outcome == Outcome::kDone &&
        !ReadList(outcome.answer.body, &reply)) {
      reply.outcome = Outcome::kUnknown;
    }
    return reply;
  }
  if (reply.outcome == Outcome::kUnknown) return reply;
  const Revision revision = ReadRevision(outcome.answer, kRevisionHeader);
  const bool wrote = call.verb == StoreVerb::kCompareAndSwap &&
                     reply.outcome == Outcome::kDone;
  reply.entries.push_back(
      {call.key, wrote ? call.value : outcome.answer.body, revision});
  return reply;
}

StoreClient::StoreClient(base::EventLoop& loop, const base::Endpoint& endpoint)
    : client(loop, {}), endpoint(endpoint) {}

void StoreClient::Call(StoreCall call, StoreCallback callback) {
  ++this->sent_calls;
  const base::HttpRequest request = EncodeStoreCall(call);
  base::Duration timeout = call.timeout;
  if (call.verb == StoreVerb::kWatch) timeout += kWatchMargin;
  // The value was sent; only the verb and the key are needed to read the
  // answer.
  this->client.Send(this->endpoint, request, timeout,
                    [call = std::move(call), callback = std::move(callback)](
                        const base::HttpOutcome& outcome) {
                      callback(DecodeStoreReply(call, outcome));
                    });
}

}  // namespace agatepass::platform
