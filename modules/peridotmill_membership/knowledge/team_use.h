#ifndef PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_TEAM_USE_H_
#define PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_TEAM_USE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_membership/messages/peer_message.h"

namespace peridotmill {

inline constexpr Duration kTeamUseInterval = std::chrono::seconds(2);
// An unchanged list is repeated after this, and a list not repeated expires.
inline constexpr Duration kTeamUseRepeat = std::chrono::seconds(10);
inline constexpr Duration kTeamUseExpiry = std::chrono::seconds(25);
// Only teams with a large use matter for shares; a list of 8 keeps the traffic
// of 21 peers under 3.5 KB/s.
inline constexpr size_t kMaxTeamsPerNode = 8;
inline constexpr size_t kMaxTeamUsePeers = 1024;

// Use of a node's teams as sent to its domain peers.
struct TeamUseState {
  std::vector<TeamUseEntry> last_sent;
  std::optional<TimePoint> last_sent_at;
  TimePoint next_send;
  struct PeerUse {
    std::vector<TeamUseEntry> entries;
    TimePoint received;
  };
  // At most kMaxTeamUsePeers.
  std::map<NodeId, PeerUse> peers;
};

// Use in sixteenths of a request in the steps that are sent.
uint16_t QuantiseUse(double running_requests);

// The message for all domain peers, when it is due and something changed.
// `own_use` is in any order; the highest entries are sent.
std::optional<TeamUseMessage> TakeTeamUse(TeamUseState& state,
                                          std::vector<TeamUseEntry> own_use,
                                          TimePoint now);

void ApplyTeamUse(TeamUseState& state,
                  const NodeId& from,
                  const TeamUseMessage& message,
                  TimePoint now);

// Running requests of a team at all domain peers, from reports not expired.
double PeersUseOf(const TeamUseState& state, Fingerprint team, TimePoint now);

void RetainTeamUsePeers(TeamUseState& state, const std::set<NodeId>& nodes);

}  // namespace peridotmill

#endif  // PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_TEAM_USE_H_
