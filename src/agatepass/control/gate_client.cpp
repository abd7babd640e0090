#include "agatepass/control/gate_client.h"

#include <utility>

namespace agatepass::control {

GateClient::GateClient(std::vector<base::Endpoint> gates, std::string token,
                       base::Duration timeout)
    : gates(std::move(gates)),
      token(std::move(token)),
      timeout(timeout),
      client(this->loop, {}) {}

base::HttpOutcome GateClient::Send(base::HttpRequest request) {
  if (!this->token.empty()) {
    request.headers.push_back({"Authorization", "Bearer " + this->token});
  }
  base::HttpOutcome outcome{.fault = "no gate is given"};
  for (const base::Endpoint& gate : this->gates) {
    outcome = this->SendTo(gate, request);
    if (outcome.delivery != base::Delivery::kNotSent) return outcome;
    outcome.fault = "gate " + gate.ToString() + ": " + outcome.fault;
  }
  return outcome;
}

void GateClient::Wait(base::Duration time) {
  const auto timer = this->loop.After(time, [this] { this->loop.Stop(); });
  this->loop.Run();
}

base::HttpOutcome GateClient::SendTo(const base::Endpoint& gate,
                                     const base::HttpRequest& request) {
  base::HttpOutcome end;
  this->client.Send(gate, request, this->timeout,
                    [this, &end](base::HttpOutcome outcome) {
                      end = std::move(outcome);
                      this->loop.Stop();
                    });
  this->loop.Run();
  return end;
}

}  // namespace agatepass::control
