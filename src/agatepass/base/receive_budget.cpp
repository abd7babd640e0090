#include "agatepass/base/receive_budget.h"

#include <algorithm>
#include <utility>

namespace agatepass::base {

namespace {

/** Part of the limit that is in use after connections were closed: otherwise
 * each further byte would have all accounts looked through again. */
constexpr double kRemainderAfterClosing = 0.875;

/** Time that each request has taken at least when connections are ranked, so
 * that size alone decides among requests that have just begun. */
constexpr Duration kMinRankedTime = std::chrono::milliseconds(100);

}  // namespace

ReceiveBudget::Id ReceiveBudget::Open(Server server,
                                      std::function<void()> close) {
  const Id id = ++this->last_id;
  Account& account = this->accounts[id];
  account.server = server;
  account.close = std::move(close);
  return id;
}

ReceiveBudget::Account* ReceiveBudget::Find(Id id) {
  const auto found = this->accounts.find(id);
  return found == this->accounts.end() ? nullptr : &found->second;
}

void ReceiveBudget::Set(size_t& amount, size_t bytes) {
  this->held_bytes += bytes;
  this->held_bytes -= amount;
  amount = bytes;
}

void ReceiveBudget::Close(Id id) {
  const Account* account = this->Find(id);
  if (account == nullptr) return;
  this->held_bytes -= account->bytes();
  this->accounts.erase(id);
}

void ReceiveBudget::OnReceived(Id id, size_t bytes, Instant now) {
  Account* account = this->Find(id);
  if (account == nullptr) return;
  if (account->received_bytes == 0) account->request_began_at = now;
  this->Set(account->received_bytes, bytes);
}

void ReceiveBudget::OnComplete(Id id, size_t handled_bytes, size_t next_bytes) {
  Account* account = this->Find(id);
  if (account == nullptr) return;
  this->Set(account->handled_bytes, handled_bytes);
  this->Set(account->received_bytes, next_bytes);
  account->is_handled = true;
}

void ReceiveBudget::OnAnswer(Id id, size_t bytes, Instant now) {
  Account* account = this->Find(id);
  if (account == nullptr) return;
  this->Set(account->answer_bytes, bytes);
  account->is_answering = true;
  account->answer_began_at = now;
}

void ReceiveBudget::OnAnswerSent(Id id, Instant now) {
  Account* account = this->Find(id);
  if (account == nullptr) return;
  this->Set(account->handled_bytes, 0);
  this->Set(account->answer_bytes, 0);
  account->is_answering = false;
  account->is_handled = false;
  // What was sent ahead is read only from now on.
  account->request_began_at = now;
}

ReceiveBudget::Server ReceiveBudget::FindLargestServer() const {
  std::map<Server, size_t> bytes_by_server;
  for (const auto& [id, account] : this->accounts) {
    bytes_by_server[account.server] += account.bytes();
  }
  const auto largest =
      std::max_element(bytes_by_server.begin(), bytes_by_server.end(),
                       [](const auto& left, const auto& right) {
                         return left.second < right.second;
                       });
  return largest == bytes_by_server.end() ? nullptr : largest->first;
}

void ReceiveBudget::CloseExcess(Instant now) {
  const auto enough = static_cast<size_t>(
      kRemainderAfterClosing * static_cast<double>(this->limits.bytes));
  while (this->held_bytes > enough) {
    const Server server = this->FindLargestServer();
    std::vector<std::pair<double, Id>> ranked;
    for (const auto& [id, account] : this->accounts) {
      if (account.server != server || account.bytes() == 0) continue;
      const Duration taken =
          std::max(now - account.request_began_at, kMinRankedTime);
      ranked.emplace_back(
          static_cast<double>(account.bytes()) * ToSeconds(taken), id);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    const size_t before = this->held_bytes;
    // Until another server holds most.
    const size_t share = this->held_bytes - (this->held_bytes - enough) / 2;
    for (const auto& [rank, id] : ranked) {
      if (this->held_bytes <= std::max(share, enough)) break;
      this->CloseConnection(id, CloseReason::kMemory);
    }
    if (this->held_bytes >= before) return;
  }
}

void ReceiveBudget::CloseOverdue(Instant now) {
  for (const auto& [id, reason] : this->FindOverdue(now)) {
    this->CloseConnection(id, reason);
  }
}

void ReceiveBudget::CloseConnection(Id id, CloseReason reason) {
  Account* account = this->Find(id);
  if (account == nullptr || !account->close) return;
  ++this->closed_counts[static_cast<size_t>(reason)];
  // It removes the account.
  const std::function<void()> close = std::exchange(account->close, nullptr);
  close();
}

std::vector<ReceiveBudget::Overdue> ReceiveBudget::FindOverdue(
    Instant now) const {
  std::vector<Overdue> overdue;
  for (const auto& [id, account] : this->accounts) {
    if (account.is_answering) {
      if (now - account.answer_began_at > this->limits.answer_time) {
        overdue.push_back({id, CloseReason::kAnswerTime});
      }
    } else if (!account.is_handled && account.received_bytes > 0 &&
               now - account.request_began_at > this->limits.request_time) {
      overdue.push_back({id, CloseReason::kRequestTime});
    }
  }
  return overdue;
}

}  // namespace agatepass::base
