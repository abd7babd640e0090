// An operator's change: read, compare, write, and find out what became of it.
#include <algorithm>

#include "agatepass/config/config_keeper.h"
#include "fmt/format.h"

namespace agatepass::config {
namespace {

using platform::Outcome;
using platform::StoreReply;
using platform::StoreVerb;

// What the platform's store takes as a value, in bytes.
constexpr size_t kLongestRecord = 1'000'000;
// Lines that the record keeps of one change.
constexpr size_t kRememberedLines = 40;

std::vector<std::string> Shorten(std::vector<std::string> lines) {
  if (lines.size() <= kRememberedLines) return lines;
  const size_t left_out = lines.size() - kRememberedLines;
  lines.resize(kRememberedLines);
  lines.push_back(fmt::format("and {} more", left_out));
  return lines;
}

std::string_view ToView(absl::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

KeeperEffects ConfigKeeper::Put(base::Instant now, PutRequest request) {
  KeeperEffects effects;
  const ParsedConfiguration parsed = ParseConfiguration(request.text);
  if (const absl::Status status = parsed.status(); !status.ok()) {
    effects.answers.push_back({.id = request.id,
                               .code = base::ResultCode::kInvalidRequest,
                               .message = std::string(ToView(status.message())),
                               .revision = this->record.revision});
    return effects;
  }
  if (request.dry_run) {
    const Configuration before =
        this->in_force ? *this->in_force : Configuration{};
    effects.answers.push_back(
        {.id = request.id,
         .message = "dry run: nothing was changed",
         .revision = this->record.revision,
         .lines = DescribeDifference(before, parsed.configuration)});
    return effects;
  }
  if (this->waiting.size() >= this->options.queued_puts) {
    effects.answers.push_back(
        {.id = request.id,
         .code = base::ResultCode::kOverloaded,
         .message =
             fmt::format("{} changes wait on host \"{}\" already",
                         this->waiting.size(), this->options.own_host.value),
         .revision = this->record.revision});
    return effects;
  }
  this->waiting.push_back(std::move(request));
  this->NextPut(now, effects);
  return effects;
}

void ConfigKeeper::NextPut(base::Instant now, KeeperEffects& effects) {
  if (this->active || this->waiting.empty()) return;
  ActivePut put{.request = std::move(this->waiting.front()),
                .deadline = now + this->options.put_timeout};
  this->waiting.pop_front();
  put.parsed = ParseConfiguration(put.request.text).configuration;
  this->active = std::move(put);
  this->Issue(
      CallPurpose::kPutRead,
      {.verb = StoreVerb::kGet, .call_class = platform::CallClass::kUrgent},
      effects);
}

void ConfigKeeper::IssuePutWrite(KeeperEffects& effects) {
  this->active->retry_due = false;
  this->Issue(CallPurpose::kPutWrite,
              {.verb = StoreVerb::kCompareAndSwap,
               .value = EncodeConfigRecord(this->active->proposal),
               .expected = this->active->stored,
               .call_class = platform::CallClass::kUrgent},
              effects);
}

void ConfigKeeper::OnPutRead(base::Instant now, const StoreReply& reply,
                             KeeperEffects& effects) {
  if (reply.outcome != Outcome::kDone || reply.entries.empty()) {
    this->StoreFailed(now, effects);
    this->Answer(base::ResultCode::kStoreUnreachable,
                 "the store does not answer; nothing was changed", effects);
  } else if (const auto stored = this->TakeEntry(now, reply, effects)) {
    this->active->stored = reply.entries.front().revision;
    if (this->Propose(*stored, effects)) this->IssuePutWrite(effects);
  } else {
    this->Answer(base::ResultCode::kStoreContentChanged,
                 "the stored configuration is malformed; nothing was changed",
                 effects);
  }
  this->NextPut(now, effects);
}

bool ConfigKeeper::Propose(const std::optional<ConfigRecord>& stored,
                           KeeperEffects& effects) {
  const PutRequest& request = this->active->request;
  // Where the store has come back older, the operator saw what is in force.
  const bool older = stored->revision < this->record.revision;
  const ConfigRecord& current = older ? this->record : *stored;
  if (request.expected != current.revision) {
    this->AnswerLostRace(current, effects);
    return false;
  }
  if (older && !request.replace_older_store) {
    this->Answer(
        base::ResultCode::kStoreContentChanged,
        fmt::format("the store holds revision {}, older than revision {} in "
                    "force; repeat with replace_older_store to write over it",
                    stored->revision, this->record.revision),
        effects);
    return false;
  }
  const Configuration before = ParseConfiguration(current.text).configuration;
  ConfigRecord& proposal = this->active->proposal;
  proposal.revision =
      std::max(current.revision, this->Status().newest_seen) + 1;
  proposal.text = request.text;
  proposal.changes = current.changes;
  proposal.changes.insert(
      proposal.changes.begin(),
      {.revision = proposal.revision,
       .author = request.author,
       .time = request.time,
       .nonce = fmt::format("{}.{}.{}", this->options.own_host.value,
                            this->options.incarnation, ++this->last_nonce),
       .lines = Shorten(DescribeDifference(before, this->active->parsed))});
  if (proposal.changes.size() > kRememberedChanges) {
    proposal.changes.resize(kRememberedChanges);
  }
  const size_t bytes = EncodeConfigRecord(proposal).size();
  if (bytes <= kLongestRecord) return true;
  this->Answer(base::ResultCode::kTooLarge,
               fmt::format("the configuration with its history has {} bytes; "
                           "the store takes {}",
                           bytes, kLongestRecord),
               effects);
  return false;
}

void ConfigKeeper::OnPutWrite(base::Instant now, const StoreReply& reply,
                              KeeperEffects& effects) {
  ActivePut& put = *this->active;
  const std::string nonce = put.proposal.last_change()->nonce;
  if (reply.outcome == Outcome::kDone) {
    this->seen_in_store =
        reply.entries.empty() ? put.stored : reply.entries.front().revision;
    this->StoreAnswered(effects);
    this->stored_revision = put.proposal.revision;
    this->store_older = false;
    this->Apply(now, put.proposal, this->view.holds_watch, effects);
    this->Answer(base::ResultCode::kOk, "", effects);
  } else if (reply.outcome == Outcome::kRefused && !reply.entries.empty()) {
    const bool older = reply.entries.front().revision < put.stored;
    const auto stored = this->TakeEntry(now, reply, effects);
    if (stored && stored->FindChange(nonce) != nullptr) {
      this->Answer(base::ResultCode::kOk, "", effects);
    } else if (stored && !(older && put.in_doubt)) {
      this->AnswerLostRace(*stored, effects);
    } else {
      this->Answer(base::ResultCode::kOutcomeUnknown,
                   "the store came back with other content while the outcome "
                   "was read back",
                   effects);
    }
  } else if (reply.outcome == Outcome::kNotSent && !put.in_doubt) {
    this->StoreFailed(now, effects);
    this->Answer(base::ResultCode::kStoreUnreachable,
                 "the store does not answer; nothing was changed", effects);
  } else {
    // The same write again: it is evaluated at most once, and a refusal shows
    // which write came before it.
    put.in_doubt = put.in_doubt || reply.outcome == Outcome::kUnknown;
    this->StoreFailed(now, effects);
    put.retry_due = true;
    put.retry_at = this->next_read;
  }
  this->NextPut(now, effects);
}

void ConfigKeeper::RetryPut(base::Instant now, KeeperEffects& effects) {
  if (!this->active || !this->active->retry_due) return;
  if (now >= this->active->deadline) {
    this->Answer(base::ResultCode::kOutcomeUnknown,
                 "the store stopped answering during the change; it may come "
                 "into force later, see config status",
                 effects);
    this->NextPut(now, effects);
  } else if (now >= this->active->retry_at) {
    this->IssuePutWrite(effects);
  }
}

void ConfigKeeper::AnswerLostRace(const ConfigRecord& winner,
                                  KeeperEffects& effects) {
  const ConfigChange* change = winner.last_change();
  const Configuration theirs = ParseConfiguration(winner.text).configuration;
  effects.answers.push_back(
      {.id = this->active->request.id,
       .code = base::ResultCode::kSuperseded,
       .message = fmt::format(
           "revision {} by \"{}\" is current, not revision {}; nothing was "
           "changed by this request",
           winner.revision, change == nullptr ? "" : change->author,
           this->active->request.expected),
       .revision = winner.revision,
       .lines = DescribeDifference(this->active->parsed, theirs)});
  this->active.reset();
}

void ConfigKeeper::Answer(base::ResultCode code, std::string message,
                          KeeperEffects& effects) {
  PutAnswer answer{.id = this->active->request.id,
                   .code = code,
                   .message = std::move(message),
                   .revision = this->record.revision};
  if (code == base::ResultCode::kOk) {
    answer.revision = this->active->proposal.revision;
    answer.lines = this->active->proposal.last_change()->lines;
  }
  effects.answers.push_back(std::move(answer));
  this->active.reset();
}

}  // namespace agatepass::config
