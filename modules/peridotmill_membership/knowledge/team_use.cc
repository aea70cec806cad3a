#include "peridotmill_membership/knowledge/team_use.h"

#include <algorithm>
#include <utility>

#include "peridotmill_membership/knowledge/endpoint_value.h"

namespace peridotmill {

uint16_t QuantiseUse(double running_requests) {
  return QuantiseCount(
      static_cast<int64_t>(std::clamp(running_requests, 0.0, 4095.0) * 16));
}

std::optional<TeamUseMessage> TakeTeamUse(TeamUseState& state,
                                          std::vector<TeamUseEntry> own_use,
                                          TimePoint now) {
  if (now < state.next_send) {
    return std::nullopt;
  }
  state.next_send =
      std::max(state.next_send + kTeamUseInterval, now + kTeamUseInterval / 2);
  std::erase_if(own_use,
                [](const TeamUseEntry& entry) { return entry.use == 0; });
  const size_t count = std::min(own_use.size(), kMaxTeamsPerNode);
  std::partial_sort(own_use.begin(),
                    own_use.begin() + static_cast<std::ptrdiff_t>(count),
                    own_use.end(), [](const auto& a, const auto& b) {
                      return a.use != b.use ? a.use > b.use : a.team < b.team;
                    });
  own_use.resize(count);
  const bool is_repeat_due =
      !state.last_sent_at || now - *state.last_sent_at >= kTeamUseRepeat;
  if (own_use == state.last_sent && (own_use.empty() || !is_repeat_due)) {
    return std::nullopt;
  }
  state.last_sent = own_use;
  state.last_sent_at = now;
  return TeamUseMessage{std::move(own_use)};
}

void ApplyTeamUse(TeamUseState& state,
                  const NodeId& from,
                  const TeamUseMessage& message,
                  TimePoint now) {
  if (!state.peers.contains(from) && state.peers.size() >= kMaxTeamUsePeers) {
    return;
  }
  TeamUseState::PeerUse& peer = state.peers[from];
  const size_t count = std::min(message.entries.size(), kMaxTeamsPerNode);
  peer.entries.assign(
      message.entries.begin(),
      message.entries.begin() + static_cast<std::ptrdiff_t>(count));
  peer.received = now;
}

double PeersUseOf(const TeamUseState& state, Fingerprint team, TimePoint now) {
  double sum = 0;
  for (const auto& [node, peer] : state.peers) {
    if (now - peer.received >= kTeamUseExpiry) {
      continue;
    }
    for (const TeamUseEntry& entry : peer.entries) {
      sum += entry.team == team ? entry.use / 16.0 : 0;
    }
  }
  return sum;
}

void RetainTeamUsePeers(TeamUseState& state, const std::set<NodeId>& nodes) {
  std::erase_if(state.peers, [&nodes](const auto& item) {
    return !nodes.contains(item.first);
  });
}

}  // namespace peridotmill
