#include "agatepass/base/http_client_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <span>
#include <utility>

#include "agatepass/base/event_loop.h"
#include "agatepass/base/work_meter.h"
#include "fmt/format.h"

namespace agatepass::base {

namespace {

/** Whether an error says that this process, not the server, can make no more
 * connections. */
bool IsOwnLimit(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS ||
         error == ENOMEM || error == EADDRNOTAVAIL;
}

/** Whether a call on a socket has to be repeated once the socket is ready. */
bool IsNotReady(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

constexpr std::string_view kConnectFault = "cannot connect";

}  // namespace

HttpClient::Connection::Connection(HttpClient& client, Endpoint endpoint)
    : client(client),
      address(std::move(endpoint)),
      parser(client.limits.answer_bytes) {
  event_assign(&this->timer, client.loop.handle(), -1, 0, &Connection::OnTimer,
               this);
  event_priority_set(&this->timer, static_cast<int>(EventPriority::kBulk));
}

HttpClient::Connection::~Connection() {
  event_del(&this->timer);
  if (this->descriptor < 0) return;
  event_del(&this->write_event);
  event_del(&this->read_event);
  close(this->descriptor);
}

void HttpClient::Connection::Start(Request request) {
  this->callback = std::move(request.callback);
  this->output = std::move(request.bytes);
  this->bytes_written = 0;
  this->bytes_read = 0;
  this->parser.Reset();
  const Instant now = this->client.loop.Now();
  const Duration timeout = request.deadline - now;
  this->longest_silence =
      request.limit == TimeLimit::kSilence ? timeout : Duration(0);
  this->answer_until = now + kMaxSilences * timeout;
  this->deadline = request.deadline;
  this->FireBy(this->deadline);
  if (now >= request.deadline) {
    this->EndLater("timeout", 0);
  } else if (this->is_connected) {
    if (!this->Write()) this->EndLater("read or write error", 0);
  } else if (const int error = this->Connect(); error != 0) {
    this->EndLater(kConnectFault, error);
  }
}

void HttpClient::Connection::Reject(Request request, std::string_view reason) {
  this->callback = std::move(request.callback);
  this->was_rejected = true;
  this->EndLater(reason, 0);
}

HttpClient::Callback HttpClient::Connection::TakeCallback() {
  this->output.clear();
  return std::exchange(this->callback, nullptr);
}

int HttpClient::Connection::Connect() {
  sockaddr_in server{};
  server.sin_family = AF_INET;
  server.sin_port = htons(this->address.port);
  if (inet_pton(AF_INET, this->address.address.c_str(), &server.sin_addr) !=
      1) {
    return EINVAL;
  }
  this->descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (this->descriptor < 0) return errno;
  event_base* loop = this->client.loop.handle();
  event_assign(&this->write_event, loop, this->descriptor, EV_WRITE,
               &Connection::OnWritable, this);
  event_assign(&this->read_event, loop, this->descriptor, EV_READ | EV_PERSIST,
               &Connection::OnReadable, this);
  const int priority = static_cast<int>(this->client.limits.priority);
  event_priority_set(&this->write_event, priority);
  event_priority_set(&this->read_event, priority);
  const int status = connect(
      this->descriptor, reinterpret_cast<sockaddr*>(&server), sizeof(server));
  if (status != 0 && errno != EINPROGRESS) return errno;
  event_add(&this->write_event, nullptr);
  return 0;
}

void HttpClient::Connection::OnWritable(int /*descriptor*/, int16_t /*what*/,
                                        void* self) {
  auto* connection = static_cast<Connection*>(self);
  const WorkScope scope(connection->client.loop.work(), WorkKind::kSending);
  if (connection->ends_with_timer) return;
  if (!connection->is_connected) {
    connection->FinishConnecting();
  } else if (!connection->Write()) {
    connection->EndWithFault("read or write error");
  }
}

void HttpClient::Connection::FinishConnecting() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    this->pending_error = error;
    this->EndWithFault(kConnectFault);
    return;
  }
  if (this->client.loop.Now() >= this->deadline) {
    // It would be carried out, and its answer come too late.
    this->EndWithFault("timeout");
    return;
  }
  this->is_connected = true;
  event_add(&this->read_event, nullptr);
  if (!this->Write()) this->EndWithFault("read or write error");
}

bool HttpClient::Connection::Write() {
  const std::span left(std::span(this->output).subspan(this->bytes_written));
  if (left.empty()) return true;
  const ssize_t taken =
      send(this->descriptor, left.data(), left.size(), MSG_NOSIGNAL);
  if (taken < 0 && !IsNotReady(errno)) return false;
  if (taken > 0) {
    this->bytes_written += static_cast<size_t>(taken);
    this->client.sent += static_cast<size_t>(taken);
  }
  if (this->bytes_written < this->output.size()) {
    event_add(&this->write_event, nullptr);
  }
  return true;
}

void HttpClient::Connection::OnReadable(int /*descriptor*/, int16_t /*what*/,
                                        void* self) {
  auto* connection = static_cast<Connection*>(self);
  const WorkScope scope(connection->client.loop.work(), WorkKind::kReading);
  connection->Read();
}

bool HttpClient::Connection::Read() {
  std::vector<char>& buffer = this->client.read_buffer;
  const ssize_t size = recv(this->descriptor, buffer.data(), buffer.size(), 0);
  if (size < 0 && IsNotReady(errno)) return false;
  if (!this->callback) {
    // An end, or bytes that belong to no request.
    this->client.OnIdleConnectionEnded(this);
    return true;
  }
  if (this->ends_with_timer) {
    event_del(&this->read_event);
    return false;
  }
  if (size <= 0) {
    if (size == 0 &&
        this->parser.OnConnectionEnd() == HttpAnswerParser::Status::kComplete) {
      this->OnAnswer();
    } else {
      this->EndWithFault(size == 0 ? "connection closed"
                                   : "read or write error");
    }
    return true;
  }
  const auto arrived = static_cast<size_t>(size);
  this->bytes_read += arrived;
  this->client.received += arrived;
  switch (this->parser.Parse({buffer.data(), arrived})) {
    case HttpAnswerParser::Status::kComplete:
      this->OnAnswer();
      return true;
    case HttpAnswerParser::Status::kMalformed:
      this->EndWithFault("malformed answer");
      return true;
    case HttpAnswerParser::Status::kTooLarge:
      this->EndWithFault("answer too large");
      return true;
    case HttpAnswerParser::Status::kIncomplete:
      this->client.last_partial_answer_at = this->client.loop.Now();
      break;
  }
  if (this->longest_silence.count() > 0) {
    this->deadline = std::min(this->client.loop.Now() + this->longest_silence,
                              this->answer_until);
    this->FireBy(this->deadline);
  }
  return false;
}

bool HttpClient::Connection::ReadAll() {
  size_t before = 0;
  do {
    before = this->bytes_read;
    if (this->Read()) return true;
  } while (this->bytes_read > before);
  return false;
}

void HttpClient::Connection::OnAnswer() {
  // What is left of the request would be taken for the next one.
  this->is_broken = !this->parser.MayReuseConnection() ||
                    this->bytes_written < this->output.size();
  HttpOutcome outcome;
  outcome.delivery = Delivery::kAnswered;
  outcome.answer = this->parser.TakeAnswer();
  this->End(std::move(outcome));
}

void HttpClient::Connection::EndWithFault(std::string_view reason) {
  const bool not_sent = this->bytes_written == 0;
  const bool failed_to_connect = not_sent && reason == kConnectFault;
  const bool at_own_limit = IsOwnLimit(this->pending_error);
  HttpOutcome outcome{
      .delivery = not_sent ? Delivery::kNotSent : Delivery::kUnknown,
      .refused = failed_to_connect && !at_own_limit,
      .at_own_limit = not_sent && (at_own_limit || this->was_rejected),
      .fault = std::string(reason),
      .bytes_of_answer = this->bytes_read};
  if (failed_to_connect && at_own_limit) {
    outcome.fault = evutil_socket_error_to_string(this->pending_error);
  }
  if (this->bytes_read > 0) {
    outcome.fault +=
        fmt::format(" after {} bytes of the answer", this->bytes_read);
  }
  this->is_broken = true;
  this->End(std::move(outcome));
}

void HttpClient::Connection::End(HttpOutcome outcome) {
  this->client.Finish(this, std::move(outcome));
}

void HttpClient::Connection::EndLater(std::string_view reason, int error) {
  this->pending_fault = reason;
  this->pending_error = error;
  this->ends_with_timer = true;
  this->deadline = this->client.loop.Now();
  this->FireBy(this->deadline);
}

void HttpClient::Connection::FireBy(Instant at) {
  if (this->timer_fires_at && *this->timer_fires_at <= at) return;
  this->timer_fires_at = at;
  const timeval delay = ToTimeval(at - this->client.loop.Now());
  event_add(&this->timer, &delay);
}

void HttpClient::Connection::OnTimer(int /*descriptor*/, int16_t /*what*/,
                                     void* self) {
  auto* connection = static_cast<Connection*>(self);
  const WorkScope scope(connection->client.loop.work(), WorkKind::kReading);
  connection->timer_fires_at.reset();
  if (!connection->callback) return;
  if (connection->ends_with_timer) {
    connection->EndWithFault(connection->pending_fault);
    return;
  }
  if (connection->client.loop.Now() < connection->deadline) {
    connection->FireBy(connection->deadline);
    return;
  }
  // The answer may have arrived and wait for this loop.
  if (connection->is_connected && connection->ReadAll()) return;
  if (connection->client.loop.Now() < connection->deadline) return;
  connection->EndWithFault("timeout");
}

}  // namespace agatepass::base
