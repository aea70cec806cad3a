#ifndef PERIDOTMILL_LIMITS_TEAMS_TEAM_SHARES_H_
#define PERIDOTMILL_LIMITS_TEAMS_TEAM_SHARES_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// Maximum number of teams with recent use; other teams have no state. Even with
// twice the number of teams in the design, not all of them would have use that
// has not yet decayed.
inline constexpr size_t kMaxTrackedTeams = 32768;
// Maximum number of teams in the reports of each peer. The heaviest teams
// suffice to detect teams over their share.
inline constexpr size_t kMaxTeamsPerPeer = 64;
inline constexpr size_t kMaxReportingPeers = 512;
// Time in which use decays by half.
inline constexpr Duration kTeamUseHalfLife = std::chrono::seconds(10);

// Recent use of one team. Use is service time in milliseconds, multiplied by
// 2^(time since the epoch / half-life). Values that are scaled like this at
// different times can be added and compared directly, so that the decay does
// not have to be applied to each entry.
struct TeamEntry {
  double own_use = 0;
  double peer_use = 0;
  double share = 1.0;
};

// Recent use of all teams, by this node and as its peers report it.
struct TeamShares {
  TimePoint epoch{};
  bool has_epoch = false;
  TimePoint swept_at{};
  std::unordered_map<TeamId, TeamEntry> teams;
  // Last reported use of each team by each peer, scaled like TeamEntry.
  std::unordered_map<NodeId, std::unordered_map<TeamId, double>> peers;
  // Sums over `teams`.
  double total_use = 0;
  double total_share = 0;
  // Number of updates that were dropped because a table was full.
  uint64_t uncounted_uses = 0;
};

// Recent use of one team, as sent to peers.
struct TeamUse {
  TeamId team;
  // Decayed milliseconds of service time.
  double use = 0;
};

// Adds service time that endpoints spent on this node's calls for a team.
void AddTeamUse(TeamShares& shares,
                const TeamId& team,
                double share,
                Duration service_time,
                TimePoint now);

// Replaces the use that a peer last reported for a team. `use` is in decayed
// milliseconds of service time and decays like this node's own use.
void ApplyPeerTeamUse(TeamShares& shares,
                      const NodeId& peer,
                      const TeamId& team,
                      double use,
                      TimePoint now);

// Removes the reports of a peer that has left the fleet.
void RemovePeerTeamUse(TeamShares& shares, const NodeId& peer);

// Returns true if the team's fraction of all recent use exceeds its fraction of
// the shares of all teams with recent use, by more than a tolerance.
bool IsOverShare(const TeamShares& shares, const TeamId& team, double share);

// Returns the `count` teams with the most use at this node, to be sent to its
// peers. Takes O(teams).
std::vector<TeamUse> TopTeamUse(const TeamShares& shares,
                                size_t count,
                                TimePoint now);

// Returns a team's decayed use through this node and its peers, in milliseconds
// of service time.
double GetTeamUse(const TeamShares& shares, const TeamId& team, TimePoint now);

// Removes teams and reports whose use has decayed to a negligible amount. Takes
// O(teams). Callers run it about every 10 s.
void RemoveIdleTeams(TeamShares& shares, TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_LIMITS_TEAMS_TEAM_SHARES_H_
