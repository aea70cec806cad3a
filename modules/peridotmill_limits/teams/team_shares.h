#ifndef PERIDOTMILL_LIMITS_TEAMS_TEAM_SHARES_H_
#define PERIDOTMILL_LIMITS_TEAMS_TEAM_SHARES_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// Teams with recent use; others hold no state. Twice the design size would
// not be in use within the memory of the decay.
inline constexpr size_t kMaxTeams = 32768;
// Teams that each peer may report; heavy users are enough to find the teams
// that are over their share.
inline constexpr size_t kMaxTeamsPerPeer = 64;
inline constexpr size_t kMaxTeamPeers = 512;
// Use is forgotten by half in this time.
inline constexpr Duration kTeamUseHalfLife = std::chrono::seconds(10);

// Use in milliseconds of service time, scaled by 2^(time since epoch over the
// half-life). Scaled values of different times can be added and compared as
// they are, so that nothing needs to be aged one by one.
struct TeamEntry {
  double own_use = 0;
  double peer_use = 0;
  double share = 1.0;
};

struct TeamShares {
  TimePoint epoch{};
  bool has_epoch = false;
  TimePoint swept_at{};
  std::unordered_map<TeamId, TeamEntry> teams;
  std::unordered_map<NodeId, std::unordered_map<TeamId, double>> peers;
  // Sums over `teams`.
  double total_use = 0;
  double total_share = 0;
  // Uses that were not counted because a table was full.
  uint64_t uncounted = 0;
};

struct TeamUse {
  TeamId team;
  // Decayed milliseconds of service time.
  double use = 0;
};

// Counts service time that this node has spent for a team.
void AddTeamUse(TeamShares& shares,
                const TeamId& team,
                double share,
                Duration service_time,
                TimePoint now);

// Replaces what a peer last reported for a team. It ages like own use.
void ApplyPeerTeamUse(TeamShares& shares,
                      const NodeId& peer,
                      const TeamId& team,
                      double use,
                      TimePoint now);

// Drops the reports of a peer that is gone.
void ForgetPeer(TeamShares& shares, const NodeId& peer);

// Whether the team's part of all recent use is above its part of the shares of
// all teams with recent use.
bool IsOverShare(const TeamShares& shares, const TeamId& team, double share);

// The `count` heaviest users of this node, for its peers; O(teams).
std::vector<TeamUse> TopTeamUse(const TeamShares& shares,
                                size_t count,
                                TimePoint now);

// Decayed use of a team by this node and its peers, in milliseconds.
double TeamUseOf(const TeamShares& shares, const TeamId& team, TimePoint now);

// Removes teams and reports whose use has faded; O(teams). Call about every
// 10 s.
void RemoveIdleTeams(TeamShares& shares, TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_LIMITS_TEAMS_TEAM_SHARES_H_
