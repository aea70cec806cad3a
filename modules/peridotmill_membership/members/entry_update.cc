#include "peridotmill_membership/members/entry_update.h"

#include <algorithm>
#include <utility>

#include "peridotmill_membership/members/topology.h"

namespace peridotmill {
namespace {

// A lost connection is enough evidence once another member has the address.
bool IsStillHeard(const MemberEntry& entry, TimePoint now) {
  return entry.is_connected && entry.last_direct &&
         now - *entry.last_direct < kSuspectAfter;
}

// Frees one place, preferring the member that has been dead longest.
bool EvictOne(MembershipState& state) {
  auto oldest = state.entries.end();
  for (auto it = state.entries.begin(); it != state.entries.end(); ++it) {
    const MemberEntry& entry = it->second;
    if (entry.member.state == MemberState::kDead && !entry.is_connected &&
        (oldest == state.entries.end() ||
         entry.state_since < oldest->second.state_since)) {
      oldest = it;
    }
  }
  if (oldest == state.entries.end()) {
    return false;
  }
  state.entries.erase(oldest);
  return true;
}

// A host that was replaced keeps its address under a new node id; its
// predecessor is gone even when the host list still shows it.
void RetirePredecessors(MembershipState& state,
                        const Member& member,
                        TimePoint now,
                        MembershipCommands& commands) {
  if (member.address.empty() || member.incarnation.value() == 0) {
    return;
  }
  for (auto& [node, other] : state.entries) {
    if (node == member.node || other.member.address != member.address ||
        other.member.state == MemberState::kDead ||
        other.member.incarnation >= member.incarnation ||
        IsStillHeard(other, now)) {
      continue;
    }
    Member dead = other.member;
    dead.state = MemberState::kDead;
    ReplaceMember(state, other, dead, now, commands);
  }
}

}  // namespace

Duration DialDelay(MembershipState& state, int failed_dials) {
  const int doublings = std::min(failed_dials, 5);
  const Duration base =
      std::min(kMinDialDelay * (1 << doublings), kMaxDialDelay);
  return std::chrono::duration_cast<Duration>(base *
                                              (0.5 + state.random.Unit()));
}

MemberEntry* AddEntry(MembershipState& state,
                      const Member& member,
                      TimePoint now,
                      MembershipCommands& commands) {
  if (state.entries.size() >= kMaxMembers && !EvictOne(state)) {
    ++state.counters.refused_full;
    return nullptr;
  }
  MemberEntry& entry = state.entries[member.node];
  entry.member = member;
  entry.last_heard = now;
  entry.state_since = now;
  // The lower node id dials first, so that two nodes seldom dial each other.
  entry.next_dial = now + std::chrono::duration_cast<Duration>(
                              kMinDialDelay * state.random.Unit());
  if (member.node < state.self.node) {
    entry.next_dial += kMinDialDelay;
  }
  commands.push_back(MemberChanged{member, std::nullopt});
  RetirePredecessors(state, member, now, commands);
  AnnounceAsRelay(state, member, commands);
  return &entry;
}

bool ReplaceMember(MembershipState& state,
                   MemberEntry& entry,
                   const Member& member,
                   TimePoint now,
                   MembershipCommands& commands) {
  const Member previous = entry.member;
  entry.member = member;
  if (previous.state == member.state &&
      previous.incarnation == member.incarnation &&
      previous.address == member.address) {
    return false;
  }
  if (previous.state != member.state) {
    entry.state_since = now;
  }
  commands.push_back(MemberChanged{member, previous});
  if (previous.incarnation != member.incarnation) {
    RetirePredecessors(state, member, now, commands);
  }
  const bool is_suspicion = member.state == MemberState::kSuspect ||
                            previous.state == MemberState::kSuspect;
  if (!is_suspicion || member.state > MemberState::kSuspect) {
    AnnounceAsRelay(state, member, commands);
  }
  return true;
}

void ForwardIntoDomain(const MembershipState& state,
                       std::vector<Member> changed,
                       MembershipCommands& commands) {
  if (changed.empty()) {
    return;
  }
  const MemberDeltaMessage message{std::move(changed)};
  for (const NodeId& peer : ConnectedDomainPeers(state)) {
    commands.push_back(SendToPeer{peer, message});
  }
}

void AnnounceAsRelay(const MembershipState& state,
                     const Member& member,
                     MembershipCommands& commands) {
  if (member.failure_domain != state.self.failure_domain ||
      member.incarnation.value() == 0 || !IsRelay(state)) {
    return;
  }
  std::vector<NodeId> receivers = ConnectedRemoteRelays(state);
  for (const NodeId& relay : RelaysOf(state, state.self.failure_domain)) {
    const auto found = state.entries.find(relay);
    if (found != state.entries.end() && found->second.is_connected) {
      receivers.push_back(relay);
    }
  }
  for (const NodeId& receiver : receivers) {
    if (receiver != member.node) {
      commands.push_back(SendToPeer{receiver, MemberDeltaMessage{{member}}});
    }
  }
}

}  // namespace peridotmill
