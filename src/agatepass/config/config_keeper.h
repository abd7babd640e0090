/** \file
 * Keeps the configuration in force on one entry host: only ever forward, with
 * the store up or down.
 */
#ifndef AGATEPASS_CONFIG_CONFIG_KEEPER_H_
#define AGATEPASS_CONFIG_CONFIG_KEEPER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/result_code.h"
#include "agatepass/base/time.h"
#include "agatepass/config/config_record.h"
#include "agatepass/config/configuration.h"
#include "agatepass/peers/messages.h"
#include "agatepass/platform/store.h"

namespace agatepass::config {

/** The store's key that holds the configuration. */
inline constexpr std::string_view kConfigKey = "config/current";

/** A configuration that has come into force. */
struct AppliedConfiguration {
  platform::Revision revision = 0;
  std::shared_ptr<const Configuration> configuration;
};

/** A store call; its end goes to OnStoreReply with the same id. */
struct KeeperStoreCall {
  uint64_t id = 0;
  platform::StoreCall call;
};

/** A message to a peer. */
struct KeeperMessage {
  base::HostId to;
  peers::Message message;
};

/** An operator's change. */
struct PutRequest {
  /** The caller's own number, which comes back in the answer. */
  uint64_t id = 0;
  std::string text;
  /** The configuration's number that the operator saw; 0 for none. */
  platform::Revision expected = 0;
  std::string author;
  base::WallTime time;
  /** Says what would change, and changes nothing. */
  bool dry_run = false;
  /** Whether a store that has come back older may be written over. */
  bool replace_older_store = false;
};

/** The answer to a PutRequest. */
struct PutAnswer {
  uint64_t id = 0;
  base::ResultCode code = base::ResultCode::kOk;
  /** For people: what was wrong, who won the race, or nothing. */
  std::string message;
  /** The number in force after the change; for a lost race, the winner's. */
  platform::Revision revision = 0;
  /** What changed; for a lost race, between the operator's text and the
   * winner's. */
  std::vector<std::string> lines;
};

enum class KeeperEventKind : uint8_t {
  kApplied,
  kStoreReached,
  kStoreUnreachable,
  kStoreOlder,
  kContentRefused,
};

/** Something for the time line. */
struct KeeperEvent {
  KeeperEventKind kind = KeeperEventKind::kApplied;
  platform::Revision revision = 0;
  std::string text;
};

/** What a step of the machine asks for, to be carried out in this order. */
struct KeeperEffects {
  std::optional<AppliedConfiguration> applied;
  std::vector<KeeperStoreCall> store_calls;
  std::vector<KeeperMessage> messages;
  std::vector<PutAnswer> answers;
  std::vector<KeeperEvent> events;
};

/** What the entry host knows of others, from the membership slice. */
struct KeeperView {
  /** Whether this host is the lowest live one of its data centre. */
  bool holds_watch = false;
  /** The other live hosts of the data centre. */
  std::vector<base::HostId> local_peers;
};

/** For `config status`. */
struct KeeperStatus {
  platform::Revision revision = 0;
  std::string preset;
  std::string author;
  base::WallTime changed;
  /** When it came into force here. */
  base::Instant applied;
  bool holds_watch = false;
  bool store_reachable = false;
  /** Whether the store holds less than what is in force. */
  bool store_older = false;
  platform::Revision stored_revision = 0;
  /** The highest number that a peer has shown. */
  platform::Revision newest_seen = 0;
  std::vector<ConfigChange> changes;
};

/** Settings of the machine. */
struct KeeperOptions {
  base::HostId own_host;
  peers::Incarnation incarnation = 0;
  uint64_t seed = 1;
  /** The longest that a watch waits in the store. */
  base::Duration watch_time = std::chrono::seconds(30);
  /** Wait after a failed store call; doubles up to `longest_retry`. */
  base::Duration first_retry = std::chrono::milliseconds(250);
  base::Duration longest_retry = std::chrono::seconds(4);
  /** Time that the data centre's watch holder has to pass a change on before
   * a peer is asked for it. */
  base::Duration pull_delay = std::chrono::milliseconds(500);
  base::Duration pull_timeout = std::chrono::seconds(1);
  /** The longest that an unknown outcome is followed up before it is told as
   * unknown. */
  base::Duration put_timeout = std::chrono::seconds(20);
  size_t queued_puts = 16;
};

/** The state machine; no clock, no socket.
 *
 * \code
 * ConfigKeeper keeper(options, now);
 * keeper.SetView({.holds_watch = liveness.is_representative(),
 *                 .local_peers = liveness.LocalPeers()});
 * KeeperEffects effects = keeper.OnTick(now);  // every 100 ms
 * \endcode
 */
class ConfigKeeper {
 public:
  ConfigKeeper(const KeeperOptions& options, base::Instant now);

  /** Sets what is known of other hosts; takes effect at the next step. */
  void SetView(const KeeperView& view) { this->view = view; }

  /** Starts calls that are due. Call it every 100 ms or so. */
  KeeperEffects OnTick(base::Instant now);

  /** Takes the end of a store call in. */
  KeeperEffects OnStoreReply(base::Instant now, uint64_t id,
                             const platform::StoreReply& reply);

  /** Takes in that `from` has `revision` in force, from its heartbeat or the
   * summary of its data centre. */
  KeeperEffects OnPeerRevision(base::Instant now, const base::HostId& from,
                               platform::Revision revision);

  /** Takes a peer's configuration in. */
  KeeperEffects OnConfigText(base::Instant now, const base::HostId& from,
                             const peers::ConfigText& message);

  /** Answers a peer that asks for the configuration. */
  KeeperEffects OnConfigQuery(const base::HostId& from,
                              const peers::ConfigQuery& message) const;

  /** Starts an operator's change; exactly one PutAnswer follows. */
  KeeperEffects Put(base::Instant now, PutRequest request);

  /** The number in force; 0 before the first configuration. */
  platform::Revision revision() const { return this->record.revision; }

  /** The configuration in force; null before the first. */
  std::shared_ptr<const Configuration> configuration() const {
    return this->in_force;
  }

  KeeperStatus Status() const;

 private:
  enum class CallPurpose : uint8_t { kRead, kWatch, kPutRead, kPutWrite };

  /** The change at work; others wait. */
  struct ActivePut {
    PutRequest request;
    Configuration parsed;
    ConfigRecord proposal;
    platform::Revision stored = 0;
    base::Instant deadline;
    base::Instant retry_at;
    bool retry_due = false;
    // Whether a write was sent whose outcome is not known.
    bool in_doubt = false;
  };

  void Issue(CallPurpose purpose, platform::StoreCall call,
             KeeperEffects& effects);
  void IssueRead(KeeperEffects& effects);
  void IssueWatch(KeeperEffects& effects);
  void IssuePutWrite(KeeperEffects& effects);
  void OnReadReply(base::Instant now, const platform::StoreReply& reply,
                   KeeperEffects& effects);
  void OnPutRead(base::Instant now, const platform::StoreReply& reply,
                 KeeperEffects& effects);
  void OnPutWrite(base::Instant now, const platform::StoreReply& reply,
                  KeeperEffects& effects);
  std::optional<ConfigRecord> TakeEntry(base::Instant now,
                                        const platform::StoreReply& reply,
                                        KeeperEffects& effects);
  bool Propose(const std::optional<ConfigRecord>& stored,
               KeeperEffects& effects);
  void RetryPut(base::Instant now, KeeperEffects& effects);
  void AnswerLostRace(const ConfigRecord& winner, KeeperEffects& effects);
  void Answer(base::ResultCode code, std::string message,
              KeeperEffects& effects);
  void NextPut(base::Instant now, KeeperEffects& effects);
  void Apply(base::Instant now, const ConfigRecord& next, bool pass_on,
             KeeperEffects& effects);
  void StoreFailed(base::Instant now, KeeperEffects& effects);
  void StoreAnswered(KeeperEffects& effects);
  void Pull(base::Instant now, KeeperEffects& effects);
  base::Duration Jittered(base::Duration duration);

  KeeperOptions options;
  KeeperView view;
  std::mt19937_64 random;
  ConfigRecord record;
  std::shared_ptr<const Configuration> in_force;
  base::Instant applied_at;

  std::map<uint64_t, CallPurpose> calls;
  uint64_t last_call = 0;
  uint64_t last_nonce = 0;
  /** The key's revision in the store when it was last read. */
  platform::Revision seen_in_store = 0;
  platform::Revision stored_revision = 0;
  bool reading = false;
  bool watching = false;
  bool read_needed = true;
  bool store_reachable = false;
  bool store_older = false;
  base::Duration retry_wait;
  base::Instant next_read;

  std::optional<ActivePut> active;
  std::deque<PutRequest> waiting;

  /** The peers that have shown a higher number, and which. */
  std::map<base::HostId, platform::Revision> ahead;
  base::Instant pull_at = base::Instant::max();
};

}  // namespace agatepass::config

#endif  // AGATEPASS_CONFIG_CONFIG_KEEPER_H_
