/** \file
 * One connection of an HTTP client and the request on it. For http_client.cpp
 * only.
 */
#ifndef AGATEPASS_BASE_HTTP_CLIENT_CONNECTION_H_
#define AGATEPASS_BASE_HTTP_CLIENT_CONNECTION_H_

#include <event2/event.h>
#include <event2/event_struct.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>

#include "agatepass/base/http_answer_parser.h"
#include "agatepass/base/http_client.h"
#include "agatepass/base/time.h"

namespace agatepass::base {

/** A socket that sends one request at a time. A request on an open connection
 * goes out with one system call, and an answer comes in with one.
 *
 * Its client may destroy it in HttpClient::Finish or OnIdleConnectionEnded,
 * which is therefore the last thing that each event does.
 */
class HttpClient::Connection {
 public:
  Connection(HttpClient& client, Endpoint endpoint);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /** Sends a request, after the connection is made if it is new. */
  void Start(Request request);

  /** Ends a request, from the loop, without sending any of it. */
  void Reject(Request request, std::string_view reason);

  /** Takes the callback of the request, which is over then. */
  Callback TakeCallback();

  /** Whether another request may be sent. */
  bool reusable() const { return this->is_connected && !this->is_broken; }

  const Endpoint& endpoint() const { return this->address; }

  /** While idle: since when, and its place among all idle ones. */
  Instant idle_since;
  std::list<Connection*>::iterator idle_position;

 private:
  static void OnWritable(int descriptor, int16_t what, void* self);
  static void OnReadable(int descriptor, int16_t what, void* self);
  static void OnTimer(int descriptor, int16_t what, void* self);

  /** Begins to make the connection.
   * \return 0, or the error of the system. */
  int Connect();
  void FinishConnecting();
  /** Sends as much of the request as the socket takes.
   * \return whether the connection still works. */
  bool Write();
  /** Reads once.
   * \return whether the request has ended, or the connection while idle. */
  bool Read();
  /** Reads all that has arrived.
   * \return whether the request has ended. */
  bool ReadAll();
  void OnAnswer();
  void EndWithFault(std::string_view reason);
  void End(HttpOutcome outcome);
  /** Ends the request from the loop. */
  void EndLater(std::string_view reason, int error);
  /** Has the timer fire by `at`; one that fires sooner is armed again then. */
  void FireBy(Instant at);

  HttpClient& client;
  Endpoint address;
  int descriptor = -1;
  event write_event{};
  event read_event{};
  event timer{};
  HttpAnswerParser parser;
  Callback callback;
  /** Bytes of the request, and how many of them the socket has taken. */
  std::string output;
  size_t bytes_written = 0;
  size_t bytes_read = 0;
  /** When the request times out, and when the timer fires, if it is armed. */
  Instant deadline;
  std::optional<Instant> timer_fires_at;
  /** With TimeLimit::kSilence the timeout, otherwise zero; and when the answer
   * must be whole. */
  Duration longest_silence{0};
  Instant answer_until;
  /** Why the request ends with the next timer, and the error of the system
   * behind it. */
  std::string pending_fault;
  int pending_error = 0;
  bool ends_with_timer = false;
  bool was_rejected = false;
  bool is_connected = false;
  bool is_broken = false;
};

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_HTTP_CLIENT_CONNECTION_H_
