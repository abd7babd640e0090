#include "agatepass/relay/ticket_book.h"

#include <utility>

#include "fmt/format.h"

namespace agatepass::relay {

namespace {

using base::ResultCode;

TicketDecision Answer(ResultCode code, std::string message) {
  return {TicketStep::kAnswer, {.code = code, .message = std::move(message)}};
}

}  // namespace

std::optional<Ticket> TicketBook::Issue(const base::TeamId& team,
                                        base::Instant now) {
  this->OnTick(now);
  if (this->entries.size() >= this->limits.tickets) return std::nullopt;
  const uint64_t number = ++this->last_number;
  this->entries[number] = {.team = team, .issued_at = now};
  return Ticket{this->host, this->incarnation, number};
}

TicketDecision TicketBook::Begin(const Ticket& ticket, const base::TeamId& team,
                                 RequestNumber request, base::Instant now) {
  if (ticket.host != this->host) return {TicketStep::kElsewhere, {}};
  this->OnTick(now);
  const std::string name = ticket.ToString();
  if (ticket.incarnation != this->incarnation) {
    return Answer(ResultCode::kOutcomeUnknown,
                  fmt::format("the entry host of ticket \"{}\" has been "
                              "restarted since",
                              name));
  }
  if (ticket.number == 0 || ticket.number > this->last_number) {
    return Answer(ResultCode::kInvalidRequest,
                  fmt::format("ticket \"{}\" was never issued", name));
  }
  const auto found = this->entries.find(ticket.number);
  if (found == this->entries.end()) {
    return Answer(ResultCode::kOutcomeUnknown,
                  fmt::format("ticket \"{}\" has expired", name));
  }
  Entry& entry = found->second;
  if (entry.team != team) {
    return Answer(ResultCode::kForbidden,
                  fmt::format("ticket \"{}\" belongs to another team", name));
  }
  switch (entry.phase) {
    case Phase::kIssued:
      entry.phase = Phase::kRunning;
      return {TicketStep::kRun, {}};
    case Phase::kRunning:
      entry.waiting.push_back(request);
      return {TicketStep::kWait, {}};
    case Phase::kEnded:
      break;
  }
  return {TicketStep::kAnswer, entry.result};
}

std::vector<RequestNumber> TicketBook::OnEnd(const Ticket& ticket,
                                             const RelayResult& result) {
  const auto found = this->entries.find(ticket.number);
  if (found == this->entries.end() || ticket.host != this->host ||
      ticket.incarnation != this->incarnation ||
      found->second.phase != Phase::kRunning)
    return {};
  Entry& entry = found->second;
  const bool not_run = base::DescribeResultCode(result.code).execution ==
                       base::Execution::kNotRun;
  entry.phase = not_run ? Phase::kIssued : Phase::kEnded;
  if (!not_run) {
    entry.result = result;
    this->kept_bytes += result.answer.body.size();
  }
  std::vector<RequestNumber> waiting = std::exchange(entry.waiting, {});
  this->DropAnswers();
  return waiting;
}

void TicketBook::OnTick(base::Instant now) {
  // Numbers rise with the time of issue. A running one is kept to its end, so
  // that a repeat cannot start it again.
  for (auto entry = this->entries.begin();
       entry != this->entries.end() &&
       entry->second.issued_at + this->limits.life <= now &&
       entry->second.phase != Phase::kRunning;) {
    this->kept_bytes -= entry->second.result.answer.body.size();
    entry = this->entries.erase(entry);
  }
}

void TicketBook::DropAnswers() {
  for (auto& [number, entry] : this->entries) {
    if (this->kept_bytes <= this->limits.answer_bytes) return;
    if (entry.phase != Phase::kEnded || entry.result.answer.body.empty())
      continue;
    this->kept_bytes -= entry.result.answer.body.size();
    entry.result = {.code = ResultCode::kOutcomeUnknown,
                    .message = "the request ran; its answer is kept no more"};
  }
}

}  // namespace agatepass::relay
