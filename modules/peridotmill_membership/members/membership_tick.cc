#include <algorithm>
#include <utility>

#include "peridotmill_membership/members/entry_update.h"
#include "peridotmill_membership/members/membership.h"
#include "peridotmill_membership/members/topology.h"

namespace peridotmill {
namespace {

// Ticks further apart than this mean that this node itself was paused.
constexpr Duration kOwnPause = std::chrono::seconds(2);

// Time in which this node did not run must not count against the others.
void ForgiveOwnPause(MembershipState& state, TimePoint now) {
  const Duration gap = now - state.last_tick;
  state.last_tick = now;
  if (gap < kOwnPause) {
    return;
  }
  for (auto& [node, entry] : state.entries) {
    entry.last_heard = std::min(entry.last_heard + gap, now);
  }
}

void DetectFailures(MembershipState& state,
                    const std::set<NodeId>& wanted,
                    TimePoint now,
                    MembershipCommands& commands) {
  std::vector<Member> dead_remote;
  for (auto& [node, entry] : state.entries) {
    // A member without a direct connection is judged by its domain's relays.
    if (!wanted.contains(node) && !entry.is_connected) {
      continue;
    }
    const Duration silence = now - entry.last_heard;
    Member member = entry.member;
    if (silence >= kDeadAfter) {
      member.state = MemberState::kDead;
      // A host without power never closes its side. A new connection also
      // introduces both sides again.
      if (entry.is_connected) {
        commands.push_back(DropPeer{node});
      }
    } else if (silence >= kSuspectAfter &&
               member.state == MemberState::kAlive) {
      member.state = MemberState::kSuspect;
    }
    const bool is_changed = ReplaceMember(state, entry, member, now, commands);
    if (is_changed && member.state == MemberState::kDead &&
        member.failure_domain != state.self.failure_domain) {
      dead_remote.push_back(member);
    }
  }
  // When both relays of a domain die, nobody there tells this domain.
  ForwardIntoDomain(state, std::move(dead_remote), commands);
}

void SendHeartbeats(MembershipState& state,
                    const HeartbeatFields& fields,
                    TimePoint now,
                    MembershipCommands& commands) {
  if (now < state.next_heartbeat) {
    return;
  }
  // Missed beats are not made up.
  state.next_heartbeat = std::max(state.next_heartbeat + kHeartbeatInterval,
                                  now + kHeartbeatInterval / 2);
  ++state.self.heartbeat;
  HeartbeatMessage message;
  message.incarnation = state.self.incarnation;
  message.state = state.self.state;
  message.revision = fields.revision;
  message.counter = state.self.heartbeat;
  message.report_sequence = fields.report_sequence;
  for (const auto& [node, entry] : state.entries) {
    const bool is_remote =
        entry.member.failure_domain != state.self.failure_domain;
    if (entry.is_connected &&
        (!is_remote || state.self.heartbeat % kRemoteHeartbeatEvery == 0)) {
      commands.push_back(SendToPeer{node, message});
    }
  }
}

bool TakeDial(MembershipState& state, TimePoint now) {
  if (now - state.dial_window_start >= std::chrono::seconds(1)) {
    state.dial_window_start = now;
    state.dials_in_window = 0;
  }
  if (state.dials_in_window >= kMaxDialsPerSecond) {
    return false;
  }
  ++state.dials_in_window;
  return true;
}

void OpenConnections(MembershipState& state,
                     const std::set<NodeId>& wanted,
                     TimePoint now,
                     MembershipCommands& commands) {
  for (const NodeId& node : wanted) {
    MemberEntry& entry = state.entries.at(node);
    if (entry.is_connected || now < entry.next_dial) {
      continue;
    }
    if (!TakeDial(state, now)) {
      entry.next_dial = now + DialDelay(state, 1);
      continue;
    }
    ++state.counters.dials;
    commands.push_back(DialPeer{node, entry.member.address});
    entry.next_dial = now + DialDelay(state, ++entry.failed_dials);
  }
}

// Whether the peer itself may want the connection.
bool IsRemoteRelay(const MembershipState& state, const Member& member) {
  const std::vector<NodeId> relays = RelaysOf(state, member.failure_domain);
  return IsRelay(state) &&
         std::find(relays.begin(), relays.end(), member.node) != relays.end();
}

void CloseConnections(MembershipState& state,
                      const std::set<NodeId>& wanted,
                      TimePoint now,
                      MembershipCommands& commands) {
  for (auto& [node, entry] : state.entries) {
    if (!entry.is_connected || wanted.contains(node) ||
        IsRemoteRelay(state, entry.member)) {
      entry.unwanted_since.reset();
      continue;
    }
    if (!entry.unwanted_since) {
      entry.unwanted_since = now;
    } else if (now - *entry.unwanted_since >= kCloseUnwantedAfter) {
      entry.unwanted_since.reset();
      commands.push_back(DropPeer{node});
    }
  }
}

void ForgetDead(MembershipState& state, TimePoint now) {
  std::erase_if(state.entries, [now](const auto& item) {
    const MemberEntry& entry = item.second;
    return entry.member.state == MemberState::kDead && !entry.is_listed &&
           !entry.is_connected && now - entry.state_since >= kForgetAfter;
  });
}

}  // namespace

MembershipCommands TickMembership(MembershipState& state,
                                  const HeartbeatFields& fields,
                                  TimePoint now) {
  MembershipCommands commands;
  ForgiveOwnPause(state, now);
  DetectFailures(state, WantedPeers(state), now, commands);
  ForgetDead(state, now);
  SendHeartbeats(state, fields, now, commands);
  // The failures just found may have changed the relays.
  const std::set<NodeId> wanted = WantedPeers(state);
  OpenConnections(state, wanted, now, commands);
  CloseConnections(state, wanted, now, commands);
  return commands;
}

TimePoint NextMembershipWakeup(const MembershipState& state) {
  TimePoint next = state.next_heartbeat;
  for (const NodeId& node : WantedPeers(state)) {
    const MemberEntry& entry = state.entries.at(node);
    if (!entry.is_connected) {
      next = std::min(next, entry.next_dial);
    }
    if (entry.member.state == MemberState::kAlive) {
      next = std::min(next, entry.last_heard + kSuspectAfter);
    } else if (entry.member.state != MemberState::kDead) {
      next = std::min(next, entry.last_heard + kDeadAfter);
    }
  }
  return next;
}

}  // namespace peridotmill
