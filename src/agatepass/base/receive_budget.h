/** \file
 * Memory of the requests that a process is receiving and of the answers that it
 * is sending, over all its servers, and which connections are closed to stay
 * within a limit. Deterministic: time comes in as a parameter.
 *
 * Handles many clients that send large requests without ending them, or take no
 * answers: what each connection may hold is bounded by its server, what all
 * hold together by this budget.
 */
#ifndef AGATEPASS_BASE_RECEIVE_BUDGET_H_
#define AGATEPASS_BASE_RECEIVE_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "agatepass/base/time.h"

namespace agatepass::base {

/** Bounds of one budget. */
struct ReceiveLimits {
  /** Memory of what is received and sent, estimated. */
  size_t bytes = size_t{32} * 1024 * 1024;
  /** Time from the first byte of a request to its last. */
  Duration request_time = std::chrono::seconds(30);
  /** Time in which a client has to take an answer. */
  Duration answer_time = std::chrono::seconds(30);
};

/** Why a connection is closed. */
enum class CloseReason : uint8_t { kMemory, kRequestTime, kAnswerTime };

/** Number of values of CloseReason. */
inline constexpr size_t kCloseReasons = 3;

/** Accounts of connections. Over the limit, connections of the server that
 * holds most are closed, so that clients of one server take nothing from those
 * of the others; of these, first those that hold much and have taken long.
 *
 * \code
 * const ReceiveBudget::Id id = budget.Open(server, close);
 * budget.OnReceived(id, bytes, now);
 * if (budget.IsExceeded()) budget.CloseExcess(now);
 * \endcode
 */
class ReceiveBudget {
 public:
  using Id = uint64_t;
  /** Identifies the server of a connection. */
  using Server = const void*;

  /** A connection whose time is over. */
  struct Overdue {
    Id id = 0;
    CloseReason reason = CloseReason::kRequestTime;
  };

  ReceiveBudget() : ReceiveBudget(ReceiveLimits{}) {}
  explicit ReceiveBudget(const ReceiveLimits& limits) : limits(limits) {}

  /** Adds a connection.
   * \param close closes it and so calls Close(). */
  Id Open(Server server, std::function<void()> close);

  /** Removes a connection that has ended. */
  void Close(Id id);

  /** Records what a connection holds of requests that are not complete; the
   * first bytes begin a request. */
  void OnReceived(Id id, size_t bytes, Instant now);

  /** Records that a request is complete and waits for its answer.
   * \param handled_bytes what it takes until then.
   * \param next_bytes what the connection holds of the next requests. */
  void OnComplete(Id id, size_t handled_bytes, size_t next_bytes);

  /** Records that an answer of this size is being sent. */
  void OnAnswer(Id id, size_t bytes, Instant now);

  /** Records that the answer was sent: the request takes nothing any more, and
   * the time of the next one begins. */
  void OnAnswerSent(Id id, Instant now);

  /** Whether more is held than the limit allows. */
  bool IsExceeded() const { return this->held_bytes > this->limits.bytes; }

  /** Closes connections until some of the limit is free again. */
  void CloseExcess(Instant now);

  /** Closes the connections whose time is over. */
  void CloseOverdue(Instant now);

  /** Returns the connections whose time is over. */
  std::vector<Overdue> FindOverdue(Instant now) const;

  /** Bytes held now. */
  size_t held() const { return this->held_bytes; }

  /** Connections closed for a reason so far. */
  uint64_t closed_for(CloseReason reason) const {
    return this->closed_counts[static_cast<size_t>(reason)];
  }

 private:
  struct Account {
    Server server = nullptr;
    std::function<void()> close;
    size_t received_bytes = 0;
    size_t handled_bytes = 0;
    size_t answer_bytes = 0;
    Instant request_began_at;
    Instant answer_began_at;
    /** Whether a complete request waits for its answer: its time is not the
     * client's. */
    bool is_handled = false;
    bool is_answering = false;

    size_t bytes() const {
      return this->received_bytes + this->handled_bytes + this->answer_bytes;
    }
  };

  Account* Find(Id id);
  /** Changes one of an account's amounts. */
  void Set(size_t& amount, size_t bytes);
  /** Returns the server whose connections hold most. */
  Server FindLargestServer() const;
  void CloseConnection(Id id, CloseReason reason);

  ReceiveLimits limits;
  Id last_id = 0;
  size_t held_bytes = 0;
  std::map<Id, Account> accounts;
  std::array<uint64_t, kCloseReasons> closed_counts{};
};

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_RECEIVE_BUDGET_H_
