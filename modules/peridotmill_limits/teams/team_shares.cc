#include "peridotmill_limits/teams/team_shares.h"

#include <algorithm>
#include <cmath>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Scaled values are rescaled to a new epoch after this many half-lives, long
// before a double loses small values when they are added to large ones.
constexpr double kMaxEpochAgeHalfLives = 20;
// Teams and reports with less use than this are removed.
constexpr double kNegligibleUseMs = 0.5;
// Minimum time between sweeps of a full table. A sweep for each new team would
// take a millisecond per request.
constexpr Duration kMinSweepInterval = std::chrono::seconds(1);
// A team is over its share only above this multiple of it, so that use close to
// the share does not make the result alternate.
constexpr double kShareToleranceFactor = 1.1;

// Returns the factor by which use at time `now` is scaled.
double ScaleAt(const TeamShares& shares, TimePoint now) {
  return std::exp2(ToMilliseconds(now - shares.epoch) /
                   ToMilliseconds(kTeamUseHalfLife));
}

// Multiplies all stored use by `factor`.
void ScaleAllUse(TeamShares& shares, double factor) {
  for (auto& [team, entry] : shares.teams) {
    entry.own_use *= factor;
    entry.peer_use *= factor;
  }
  for (auto& [peer, reports] : shares.peers) {
    for (auto& [team, use] : reports) {
      use *= factor;
    }
  }
  shares.total_use *= factor;
}

// Moves the epoch to `now` if it is more than kMaxEpochAgeHalfLives ago.
// Returns the factor by which use at time `now` is scaled.
double AdvanceEpoch(TeamShares& shares, TimePoint now) {
  if (!shares.has_epoch) {
    shares.epoch = now;
    shares.has_epoch = true;
  }
  const double half_lives =
      ToMilliseconds(now - shares.epoch) / ToMilliseconds(kTeamUseHalfLife);
  if (half_lives > kMaxEpochAgeHalfLives) {
    ScaleAllUse(shares, std::exp2(-half_lives));
    shares.epoch = now;
    return 1;
  }
  return std::exp2(half_lives);
}

// Returns the team's entry, or null if the table is full.
TeamEntry* FindOrAdd(TeamShares& shares, const TeamId& team, TimePoint now) {
  const auto found = shares.teams.find(team);
  if (found != shares.teams.end()) {
    return &found->second;
  }
  if (shares.teams.size() >= kMaxTrackedTeams &&
      now - shares.swept_at >= kMinSweepInterval) {
    RemoveIdleTeams(shares, now);
  }
  if (shares.teams.size() >= kMaxTrackedTeams) {
    ++shares.uncounted_uses;
    return nullptr;
  }
  TeamEntry* entry = &shares.teams[team];
  shares.total_share += entry->share;
  return entry;
}

// Subtracts scaled use that a peer reported for a team.
void SubtractPeerUse(TeamShares& shares, const TeamId& team, double use) {
  const auto found = shares.teams.find(team);
  if (found != shares.teams.end()) {
    found->second.peer_use = std::max(0.0, found->second.peer_use - use);
    shares.total_use = std::max(0.0, shares.total_use - use);
  }
}

}  // namespace

void AddTeamUse(TeamShares& shares,
                const TeamId& team,
                double share,
                Duration service_time,
                TimePoint now) {
  const double scale = AdvanceEpoch(shares, now);
  TeamEntry* entry = FindOrAdd(shares, team, now);
  if (entry == nullptr) {
    return;
  }
  const double use = ToMilliseconds(service_time) * scale;
  entry->own_use += use;
  shares.total_use += use;
  shares.total_share += share - entry->share;
  entry->share = share;
}

void ApplyPeerTeamUse(TeamShares& shares,
                      const NodeId& peer,
                      const TeamId& team,
                      double use,
                      TimePoint now) {
  const double scale = AdvanceEpoch(shares, now);
  if (shares.peers.size() >= kMaxReportingPeers &&
      !shares.peers.contains(peer)) {
    ++shares.uncounted_uses;
    return;
  }
  // FindOrAdd() may sweep the tables and so remove peers. It must therefore run
  // before the lookup of the peer's reports.
  TeamEntry* entry = FindOrAdd(shares, team, now);
  if (entry == nullptr) {
    return;
  }
  auto& reports = shares.peers[peer];
  if (reports.size() >= kMaxTeamsPerPeer && !reports.contains(team)) {
    const auto least = std::min_element(
        reports.begin(), reports.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    SubtractPeerUse(shares, least->first, least->second);
    reports.erase(least);
  }
  double& reported = reports[team];
  const double change = std::max(0.0, use) * scale - reported;
  reported += change;
  entry->peer_use = std::max(0.0, entry->peer_use + change);
  shares.total_use = std::max(0.0, shares.total_use + change);
}

void RemovePeerTeamUse(TeamShares& shares, const NodeId& peer) {
  const auto found = shares.peers.find(peer);
  if (found == shares.peers.end()) {
    return;
  }
  for (const auto& [team, use] : found->second) {
    SubtractPeerUse(shares, team, use);
  }
  shares.peers.erase(found);
}

bool IsOverShare(const TeamShares& shares, const TeamId& team, double share) {
  const auto found = shares.teams.find(team);
  if (found == shares.teams.end() || shares.total_use <= 0) {
    return false;
  }
  const double use = found->second.own_use + found->second.peer_use;
  const double all_shares = shares.total_share - found->second.share + share;
  return use * all_shares > kShareToleranceFactor * share * shares.total_use;
}

std::vector<TeamUse> TopTeamUse(const TeamShares& shares,
                                size_t count,
                                TimePoint now) {
  const double scale = ScaleAt(shares, now);
  using Entry = std::pair<double, const TeamId*>;
  // Min-heap of the `count` largest entries so far.
  std::vector<Entry> heap;
  heap.reserve(count + 1);
  for (const auto& [team, entry] : shares.teams) {
    if (count == 0 || entry.own_use < kNegligibleUseMs * scale ||
        (heap.size() == count && entry.own_use <= heap.front().first)) {
      continue;
    }
    heap.emplace_back(entry.own_use, &team);
    std::push_heap(heap.begin(), heap.end(), std::greater<>());
    if (heap.size() > count) {
      std::pop_heap(heap.begin(), heap.end(), std::greater<>());
      heap.pop_back();
    }
  }
  std::sort(heap.begin(), heap.end(), std::greater<>());
  std::vector<TeamUse> top;
  top.reserve(heap.size());
  for (const auto& [use, team] : heap) {
    top.push_back({*team, use / scale});
  }
  return top;
}

double GetTeamUse(const TeamShares& shares, const TeamId& team, TimePoint now) {
  const auto found = shares.teams.find(team);
  return found == shares.teams.end()
             ? 0
             : (found->second.own_use + found->second.peer_use) /
                   ScaleAt(shares, now);
}

void RemoveIdleTeams(TeamShares& shares, TimePoint now) {
  shares.swept_at = now;
  const double negligible_use = kNegligibleUseMs * AdvanceEpoch(shares, now);
  for (auto& [peer, reports] : shares.peers) {
    std::erase_if(reports, [&](const auto& report) {
      return report.second < negligible_use;
    });
  }
  std::erase_if(shares.peers,
                [](const auto& peer) { return peer.second.empty(); });
  std::erase_if(shares.teams, [&](const auto& team) {
    return team.second.own_use + team.second.peer_use < negligible_use;
  });
  // The sums are computed anew, so that rounding errors do not accumulate.
  shares.total_use = 0;
  shares.total_share = 0;
  for (const auto& [team, entry] : shares.teams) {
    shares.total_use += entry.own_use + entry.peer_use;
    shares.total_share += entry.share;
  }
}

}  // namespace peridotmill
