/** \file
 * Which entry hosts are alive, from their heartbeats, the host list and notices
 * of leaving.
 *
 * Within a data centre every entry host sends heartbeats to every other.
 * Between data centres only the representatives do, each with one summary of
 * its data centre, so that this traffic does not grow with the hosts. Only the
 * times of arrival on the own clock count.
 */
#ifndef AGATEPASS_MEMBERSHIP_LIVENESS_H_
#define AGATEPASS_MEMBERSHIP_LIVENESS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/peers/messages.h"

namespace agatepass::membership {

enum class MemberState : uint8_t { kAlive, kSuspect, kDead, kLeaving };

/** Returns "alive", "suspect", "dead" or "leaving". */
std::string_view MemberStateName(MemberState state);

/** What is known of one entry host. */
struct Member {
  base::HostId host;
  base::DataCentreId data_centre;
  /** 0 until the host has been heard of. */
  peers::Incarnation incarnation = 0;
  MemberState state = MemberState::kSuspect;
  /** When the state was entered. */
  base::Instant since;
  /** False if heartbeats come from the host but ours do not reach it. */
  bool hears_us = true;
  platform::Revision config_revision = 0;
  /** Of hosts in the own data centre: as in their last heartbeat. */
  peers::RoomSummary room;
  std::string relay_state;
  std::vector<base::WorkerId> workers;

  /** Whether the host counts as running: not dead and not leaving. */
  bool live() const {
    return this->state == MemberState::kAlive ||
           this->state == MemberState::kSuspect;
  }
};

/** One change of a member's state. */
struct MemberChange {
  base::HostId host;
  MemberState before = MemberState::kSuspect;
  MemberState after = MemberState::kSuspect;
  /** Whether the host runs under a new incarnation. */
  bool restarted = false;
};

/** A heartbeat to send. */
struct OutgoingHeartbeat {
  base::HostId to;
  peers::Heartbeat heartbeat;
};

/** What a step of the machine asks for. */
struct LivenessEffects {
  std::vector<OutgoingHeartbeat> heartbeats;
  std::vector<MemberChange> changes;
};

/** An entry host of the host list or of the settings. */
struct ListedHost {
  base::HostId host;
  base::DataCentreId data_centre;
  bool leaving = false;
};

/** What the own host tells others in its heartbeats. */
struct OwnReport {
  platform::Revision config_revision = 0;
  peers::RoomSummary room;
  std::string relay_state;
  std::vector<base::WorkerId> workers;
};

/** Settings of the machine. */
struct LivenessOptions {
  base::HostId own_host;
  peers::Incarnation incarnation = 0;
  base::DataCentreId data_centre;
  base::Duration interval = std::chrono::seconds(1);
  /** Time without a heartbeat until a host of the own data centre is suspect,
   * and until it is dead. */
  base::Duration suspect_after = std::chrono::milliseconds(1500);
  base::Duration dead_after = std::chrono::seconds(3);
  /** The same for hosts of other data centres, whose summaries pass through
   * two representatives. */
  base::Duration remote_suspect_after = std::chrono::seconds(3);
  base::Duration remote_dead_after = std::chrono::seconds(6);
  /** Bytes a second that heartbeats may cost; parts that can wait are left out
   * beyond it. */
  size_t bytes_per_second = 2000;
};

/** Detects dead entry hosts; no clock, no socket.
 *
 * \code
 * Liveness liveness(options, now);
 * liveness.OnHostList(now, listed);
 * LivenessEffects effects = liveness.OnTick(now, report);  // every 100 ms
 * for (const OutgoingHeartbeat& beat : effects.heartbeats) {
 *   network.Send(beat.to, beat.heartbeat);
 * }
 * \endcode
 */
class Liveness {
 public:
  Liveness(const LivenessOptions& options, base::Instant now);

  /** Takes the host list in. It lags: a host that it no longer lists is kept
   * while its heartbeats come. */
  LivenessEffects OnHostList(base::Instant now,
                             std::span<const ListedHost> listed);

  /** Takes a heartbeat in. */
  LivenessEffects OnHeartbeat(base::Instant now, const base::HostId& from,
                              peers::Incarnation incarnation,
                              const peers::Heartbeat& heartbeat);

  /** Re-evaluates all hosts and sends heartbeats where they are due. Call it
   * every 100 ms or so. */
  LivenessEffects OnTick(base::Instant now, const OwnReport& report);

  /** Tells everybody, from the next OnTick on, that this host is leaving; they
   * stop counting on it at once. */
  void Leave();

  /** All known entry hosts by name, the own one included. */
  const std::map<base::HostId, Member>& members() const { return this->known; }

  /** The lowest live host of `data_centre`, which speaks for it and holds its
   * watch; nothing if none is live. */
  std::optional<base::HostId> Representative(
      const base::DataCentreId& data_centre) const;

  /** Whether the own host represents its data centre. */
  bool is_representative() const;

  /** The other live hosts of the own data centre, by name. */
  std::vector<base::HostId> LocalPeers() const;

  /** The last summary of each other data centre that is not out of reach. */
  std::vector<peers::DataCentreSummary> Summaries() const;

  /** Data centres that have been heard of and are out of reach, by name. */
  std::vector<base::DataCentreId> OutOfReach() const;

 private:
  /** Times and numbers behind one member. */
  struct Contact {
    base::Instant heard;
    uint64_t received_sequence = 0;
    uint64_t sent_sequence = 0;
    // Heartbeats up to this one went to an earlier life of the host.
    uint64_t first_sequence = 0;
    bool listed = false;

    void ForgetLife();
  };
  /** The newest summary of another data centre. */
  struct RemoteCentre {
    peers::DataCentreSummary summary;
    base::Instant heard;
    // Whether it came from there itself and was not passed on yet.
    bool pass_on = false;
    uint64_t attempts = 0;
  };

  bool IsNewer(base::Instant now, const peers::DataCentreSummary& summary,
               const RemoteCentre& centre) const;
  Member& AddMember(base::Instant now, const base::HostId& host,
                    const base::DataCentreId& data_centre);
  void SetState(base::Instant now, Member& member, MemberState state,
                bool restarted, LivenessEffects& effects);
  void TakeSummary(base::Instant now, const peers::DataCentreSummary& summary,
                   bool direct, LivenessEffects& effects);
  void Judge(base::Instant now, LivenessEffects& effects);
  void ForgivePause(base::Instant now);
  peers::DataCentreSummary OwnSummary(const OwnReport& report);
  peers::Heartbeat MakeHeartbeat(const base::HostId& to,
                                 const OwnReport& report);
  void SendLocal(const OwnReport& report, LivenessEffects& effects);
  void SendRemote(const OwnReport& report, LivenessEffects& effects);
  std::optional<base::HostId> RemoteTarget(
      const base::DataCentreId& data_centre);
  bool Spend(const peers::Heartbeat& heartbeat);

  LivenessOptions options;
  std::map<base::HostId, Member> known;
  std::map<base::HostId, Contact> contacts;
  std::map<base::DataCentreId, RemoteCentre> centres;
  base::Instant started;
  base::Instant last_tick;
  base::Instant next_heartbeat;
  uint64_t summary_sequence = 0;
  int64_t bytes_left = 0;
  bool leaving = false;
};

}  // namespace agatepass::membership

#endif  // AGATEPASS_MEMBERSHIP_LIVENESS_H_
