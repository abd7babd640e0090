/** \file
 * A stand-in of the platform's store over HTTP, with faults to switch on.
 */
#ifndef FAKES_FAKE_STORE_H_
#define FAKES_FAKE_STORE_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "agatepass/base/event_loop.h"
#include "agatepass/base/http_server.h"
#include "fakes/store_model.h"

namespace agatepass::fakes {

/** What is wrong with the store at present. */
enum class StoreFault : uint8_t {
  kNone,
  /** Requests are read and never answered. */
  kHang,
  /** Writes take effect, and their answers are dropped. */
  kLoseAnswers,
  /** Every request is answered with 503 before it is evaluated. */
  kError,
};

/** Serves a StoreModel. POST /fault?name=none|hang|lose_answers|error switches
 * the fault; GET /stats tells the calls counted so far. */
class FakeStore {
 public:
  explicit FakeStore(base::EventLoop& loop);

  /** Listens at `endpoint`; port 0 takes a free one. */
  absl::Status Listen(const base::Endpoint& endpoint);

  const base::Endpoint& endpoint() const { return this->server.endpoint(); }
  void SetFault(StoreFault fault) { this->fault = fault; }
  StoreModel& model() { return this->store; }

 private:
  struct Watch {
    platform::StoreCall call;
    base::HttpResponder responder;
    base::Instant ends;
  };

  void Receive(const base::HttpRequest& request,
               const base::HttpResponder& responder);
  void Control(const base::HttpRequest& request,
               const base::HttpResponder& responder);
  void AnswerWatches(base::Instant now);

  base::EventLoop& loop;
  base::HttpServer server;
  StoreModel store;
  StoreFault fault = StoreFault::kNone;
  std::list<Watch> watches;
  std::unique_ptr<base::LoopEvent> timer;
  uint64_t calls = 0;
  uint64_t bytes = 0;
};

}  // namespace agatepass::fakes

#endif  // FAKES_FAKE_STORE_H_
