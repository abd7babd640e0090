/** \file
 * Requests from a program to the first entry host that can be reached.
 */
#ifndef AGATEPASS_CONTROL_GATE_CLIENT_H_
#define AGATEPASS_CONTROL_GATE_CLIENT_H_

#include <string>
#include <vector>

#include "agatepass/base/event_loop.h"
#include "agatepass/base/http_client.h"
#include "agatepass/base/http_message.h"

namespace agatepass::control {

/** Sends one request at a time and waits for its end.
 *
 * \code
 * GateClient client({{"127.0.0.1", 7001}}, token, std::chrono::seconds(10));
 * base::HttpOutcome outcome = client.Send(request);
 * \endcode
 */
class GateClient {
 public:
  GateClient(std::vector<base::Endpoint> gates, std::string token,
             base::Duration timeout);

  /** Sends to the first gate, and to the next one only if provably nothing was
   * sent. */
  base::HttpOutcome Send(base::HttpRequest request);

  /** Waits without sending. */
  void Wait(base::Duration time);

 private:
  base::HttpOutcome SendTo(const base::Endpoint& gate,
                           const base::HttpRequest& request);

  std::vector<base::Endpoint> gates;
  std::string token;
  base::Duration timeout;
  base::EventLoop loop;
  base::HttpClient client;
};

}  // namespace agatepass::control

#endif  // AGATEPASS_CONTROL_GATE_CLIENT_H_
