#ifndef PERIDOTMILL_MEMBERSHIP_MEMBERS_MEMBERSHIP_H_
#define PERIDOTMILL_MEMBERSHIP_MEMBERS_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/platform/host_list.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_membership/members/member.h"
#include "peridotmill_membership/messages/peer_message.h"

namespace peridotmill {

inline constexpr Duration kHeartbeatInterval = std::chrono::seconds(1);
// Relays have 30 connections between domains; a beat on each every 2 s halves
// that traffic and still comes before kSuspectAfter.
inline constexpr uint32_t kRemoteHeartbeatEvery = 2;
inline constexpr Duration kSuspectAfter = std::chrono::seconds(3);
inline constexpr Duration kDeadAfter = std::chrono::seconds(10);
// Dead members that the host list no longer shows are forgotten after this.
inline constexpr Duration kForgetAfter = std::chrono::seconds(60);
// A connection that no rule asks for is closed after this, so that a short
// difference of views does not open and close connections.
inline constexpr Duration kCloseUnwantedAfter = std::chrono::seconds(30);
inline constexpr Duration kMinDialDelay = std::chrono::milliseconds(250);
inline constexpr Duration kMaxDialDelay = std::chrono::seconds(5);
inline constexpr size_t kRelaysPerDomain = 2;
// Three times the design size of 330 nodes.
inline constexpr size_t kMaxMembers = 1024;
// Bounds the connections that one node opens after a restart of its domain.
inline constexpr size_t kMaxDialsPerSecond = 40;

struct MembershipSettings {
  NodeId node;
  std::string address;
  FailureDomainId failure_domain;
  Incarnation incarnation;
  uint64_t seed = 0;
};

// What is known about one other member beyond its record.
struct MemberEntry {
  Member member;
  // When news that the member was alive last arrived, or when it was added.
  TimePoint last_heard;
  // When a message last came from the member itself.
  std::optional<TimePoint> last_direct;
  TimePoint state_since;
  // Whether the newest host list shows it.
  bool is_listed = false;
  bool is_connected = false;
  TimePoint next_dial;
  int failed_dials = 0;
  // Since when no rule asks for its connection.
  std::optional<TimePoint> unwanted_since;
};

struct MembershipCounters {
  uint64_t dials = 0;
  uint64_t refused_full = 0;
  uint64_t refutations = 0;
  uint64_t stale_news = 0;
};

struct MembershipState {
  Member self;
  // All members but this one; at most kMaxMembers.
  std::map<NodeId, MemberEntry> entries;
  TimePoint next_heartbeat;
  TimePoint last_tick;
  TimePoint dial_window_start;
  size_t dials_in_window = 0;
  Random random{0};
  MembershipCounters counters;
};

// Opens a connection; answered by PeerUp or, when it breaks, PeerDown. Two
// nodes may dial each other at the same time; the transport then keeps the
// connection that the lower node id opened.
struct DialPeer {
  NodeId peer;
  std::string address;
};
// Closes a connection; answered by PeerDown.
struct DropPeer {
  NodeId peer;
};

// A member's state or incarnation changed.
struct MemberChanged {
  Member member;
  // Empty for a member that was unknown.
  std::optional<Member> previous;
};

using MembershipCommand =
    std::variant<DialPeer, DropPeer, SendToPeer, MemberChanged>;
using MembershipCommands = std::vector<MembershipCommand>;

// Fields of a heartbeat that other modules own.
struct HeartbeatFields {
  Revision revision;
  uint32_t report_sequence = 0;
};

MembershipState MakeMembership(const MembershipSettings& settings,
                               TimePoint now);

// The host list only adds members and addresses; news from the members
// themselves wins over it.
MembershipCommands ApplyHostList(MembershipState& state,
                                 const HostList& list,
                                 TimePoint now);

// A connection to `peer` was authenticated or lost.
MembershipCommands PeerUp(MembershipState& state,
                          const NodeId& peer,
                          TimePoint now);
MembershipCommands PeerDown(MembershipState& state,
                            const NodeId& peer,
                            TimePoint now);

MembershipCommands ApplyHeartbeat(MembershipState& state,
                                  const NodeId& from,
                                  const HeartbeatMessage& message,
                                  TimePoint now);
MembershipCommands ApplyMemberDelta(MembershipState& state,
                                    const NodeId& from,
                                    const MemberDeltaMessage& message,
                                    TimePoint now);
MembershipCommands ApplyLeaving(MembershipState& state,
                                const NodeId& from,
                                const LeavingMessage& message,
                                TimePoint now);

// Tells all connected peers that this node is shutting down.
MembershipCommands StartLeaving(MembershipState& state, TimePoint now);

// Sends heartbeats, detects failures, opens and closes connections.
MembershipCommands TickMembership(MembershipState& state,
                                  const HeartbeatFields& fields,
                                  TimePoint now);
TimePoint NextMembershipWakeup(const MembershipState& state);

}  // namespace peridotmill

#endif  // PERIDOTMILL_MEMBERSHIP_MEMBERS_MEMBERSHIP_H_
