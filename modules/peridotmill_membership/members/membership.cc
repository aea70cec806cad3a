#include "peridotmill_membership/members/membership.h"

#include <algorithm>
#include <utility>

#include "peridotmill_membership/members/entry_update.h"
#include "peridotmill_membership/members/member_news.h"
#include "peridotmill_membership/members/topology.h"

namespace peridotmill {
namespace {

bool IsHeardDirectly(const MemberEntry& entry, TimePoint now) {
  return entry.last_direct && now - *entry.last_direct < kSuspectAfter;
}

void MarkListed(MembershipState& state, const HostList& list) {
  for (auto& [node, entry] : state.entries) {
    entry.is_listed = false;
  }
  for (const NodeRecord& record : list.nodes) {
    const auto found = state.entries.find(record.id);
    if (found != state.entries.end()) {
      found->second.is_listed = true;
    }
  }
}

// A list that lags shows the address of a predecessor; a member's own word
// about its address stands.
void ApplyRecord(MembershipState& state,
                 const NodeRecord& record,
                 TimePoint now,
                 MembershipCommands& commands) {
  const auto found = state.entries.find(record.id);
  if (found == state.entries.end()) {
    Member seed;
    seed.node = record.id;
    seed.address = record.peer_address;
    seed.failure_domain = record.failure_domain;
    seed.state =
        record.is_leaving ? MemberState::kLeaving : MemberState::kAlive;
    AddEntry(state, seed, now, commands);
    return;
  }
  MemberEntry& entry = found->second;
  Member member = entry.member;
  if (!IsHeardDirectly(entry, now) && !record.peer_address.empty()) {
    member.address = record.peer_address;
  }
  if (member.incarnation.value() == 0) {
    member.failure_domain = record.failure_domain;
    if (record.is_leaving && member.state == MemberState::kAlive) {
      member.state = MemberState::kLeaving;
    }
  }
  ReplaceMember(state, entry, member, now, commands);
}

void Refute(MembershipState& state,
            const NodeId& to,
            const Member& truth,
            MembershipCommands& commands) {
  ++state.counters.refutations;
  commands.push_back(SendToPeer{to, MemberDeltaMessage{{truth}}});
}

// Another node's word about this one. Only this incarnation's matters: an older
// incarnation's end is no news, a newer one is the operators' mistake.
void ApplyNewsOfSelf(MembershipState& state,
                     const NodeId& from,
                     const Member& news,
                     MembershipCommands& commands) {
  if (news.incarnation != state.self.incarnation ||
      news.state <= MemberState::kAlive || news.state == state.self.state) {
    return;
  }
  state.self.heartbeat = std::max(state.self.heartbeat, news.heartbeat) + 1;
  Refute(state, from, state.self, commands);
}

// The member's own word, over its own connection, also replaces a higher
// incarnation that is no longer heard: the clock of a replaced host may be
// behind its predecessor's.
bool IsAccepted(const MemberEntry& entry,
                const Member& news,
                bool is_own_word,
                TimePoint now) {
  if (Supersedes(news, entry.member)) {
    return true;
  }
  return is_own_word && news.incarnation < entry.member.incarnation &&
         now - entry.last_heard >= kSuspectAfter;
}

// What a relay tells a peer that connects: its own domain's members to another
// domain's relay, and the members of the domains that it serves to a peer of
// its own domain, so that a node that starts needs no repair.
void AppendOtherSide(const MembershipState& state,
                     const Member& peer,
                     std::vector<Member>& members) {
  if (!IsRelay(state)) {
    return;
  }
  const FailureDomainId& own = state.self.failure_domain;
  const bool is_remote = peer.failure_domain != own;
  // A peer that is the other relay now may serve a domain it knows nothing of.
  const std::vector<NodeId> relays = RelaysOf(state, own);
  const bool is_peer_relay =
      std::find(relays.begin(), relays.end(), peer.node) != relays.end();
  std::map<FailureDomainId, bool> is_told;
  for (const FailureDomainId& domain : KnownDomains(state)) {
    is_told[domain] =
        is_remote
            ? domain == own
            : domain != own && (is_peer_relay || ServesDomain(state, domain));
  }
  for (const auto& [node, entry] : state.entries) {
    if (is_told[entry.member.failure_domain] &&
        entry.member.incarnation.value() != 0 &&
        entry.member.state != MemberState::kSuspect) {
      members.push_back(entry.member);
    }
  }
}

// A member may connect before this node knows it, and others may tell of it
// before it introduces itself; its first own message completes the connection.
void NoteDirectWord(const MembershipState& state,
                    MemberEntry& entry,
                    TimePoint now,
                    MembershipCommands& commands) {
  entry.last_direct = now;
  if (entry.is_connected) {
    return;
  }
  entry.is_connected = true;
  MemberDeltaMessage others;
  AppendOtherSide(state, entry.member, others.members);
  if (!others.members.empty()) {
    commands.push_back(SendToPeer{entry.member.node, std::move(others)});
  }
}

// Returns whether the member's state, incarnation or address changed.
bool ApplyNews(MembershipState& state,
               const NodeId& from,
               const Member& news,
               TimePoint now,
               MembershipCommands& commands) {
  const bool is_own_word = from == news.node;
  const auto found = state.entries.find(news.node);
  if (found == state.entries.end()) {
    // The end of an unknown member needs no record.
    if (news.state == MemberState::kDead) {
      return false;
    }
    MemberEntry* entry = AddEntry(state, news, now, commands);
    if (entry != nullptr && is_own_word) {
      NoteDirectWord(state, *entry, now, commands);
    }
    return entry != nullptr;
  }
  MemberEntry& entry = found->second;
  const bool is_heard = IsHeardDirectly(entry, now);
  if (is_own_word) {
    NoteDirectWord(state, entry, now, commands);
  }
  if (!IsAccepted(entry, news, is_own_word, now)) {
    ++state.counters.stale_news;
    return false;
  }
  const bool is_bad_news =
      news.state == MemberState::kSuspect || news.state == MemberState::kDead;
  if (is_bad_news && is_heard && !is_own_word &&
      news.incarnation == entry.member.incarnation) {
    Refute(state, from, entry.member, commands);
    return false;
  }
  if (!is_bad_news) {
    entry.last_heard = now;
  }
  return ReplaceMember(state, entry, news, now, commands);
}

// News brought by a member of another domain goes to all peers of this domain;
// it is never sent on between domains, so it cannot circle.
void ForwardIfRemote(const MembershipState& state,
                     const NodeId& from,
                     std::vector<Member> changed,
                     MembershipCommands& commands) {
  const auto sender = state.entries.find(from);
  if (sender != state.entries.end() &&
      sender->second.member.failure_domain != state.self.failure_domain) {
    ForwardIntoDomain(state, std::move(changed), commands);
  }
}

}  // namespace

MembershipState MakeMembership(const MembershipSettings& settings,
                               TimePoint now) {
  MembershipState state;
  state.self.node = settings.node;
  state.self.address = settings.address;
  state.self.failure_domain = settings.failure_domain;
  state.self.incarnation = settings.incarnation;
  state.random = Random(settings.seed);
  state.next_heartbeat = now + std::chrono::duration_cast<Duration>(
                                   kHeartbeatInterval * state.random.Unit());
  state.last_tick = now;
  state.dial_window_start = now;
  return state;
}

MembershipCommands ApplyHostList(MembershipState& state,
                                 const HostList& list,
                                 TimePoint now) {
  MembershipCommands commands;
  for (const NodeRecord& record : list.nodes) {
    if (record.id != state.self.node && !record.id.empty()) {
      ApplyRecord(state, record, now, commands);
    }
  }
  MarkListed(state, list);
  return commands;
}

MembershipCommands PeerUp(MembershipState& state,
                          const NodeId& peer,
                          TimePoint now) {
  MembershipCommands commands;
  const auto found = state.entries.find(peer);
  if (found != state.entries.end()) {
    found->second.is_connected = true;
    found->second.failed_dials = 0;
    found->second.unwanted_since.reset();
    found->second.last_direct = now;
  }
  // Introduces this node: the peer's host list may not show it yet.
  MemberDeltaMessage introduction{{state.self}};
  if (found != state.entries.end()) {
    AppendOtherSide(state, found->second.member, introduction.members);
  }
  commands.push_back(SendToPeer{peer, std::move(introduction)});
  return commands;
}

MembershipCommands PeerDown(MembershipState& state,
                            const NodeId& peer,
                            TimePoint now) {
  const auto found = state.entries.find(peer);
  if (found != state.entries.end()) {
    found->second.is_connected = false;
    found->second.next_dial = now + DialDelay(state, 1);
  }
  return {};
}

MembershipCommands ApplyHeartbeat(MembershipState& state,
                                  const NodeId& from,
                                  const HeartbeatMessage& message,
                                  TimePoint now) {
  MembershipCommands commands;
  const auto found = state.entries.find(from);
  if (found == state.entries.end() ||
      (!message.node.empty() && message.node != from)) {
    return commands;
  }
  Member news = found->second.member;
  news.incarnation = message.incarnation;
  news.state = message.state;
  news.heartbeat = message.counter;
  if (ApplyNews(state, from, news, now, commands)) {
    ForwardIfRemote(state, from, {news}, commands);
  }
  return commands;
}

MembershipCommands ApplyMemberDelta(MembershipState& state,
                                    const NodeId& from,
                                    const MemberDeltaMessage& message,
                                    TimePoint now) {
  MembershipCommands commands;
  std::vector<Member> changed;
  for (const Member& news : message.members) {
    if (news.node.empty()) {
      continue;
    }
    if (news.node == state.self.node) {
      ApplyNewsOfSelf(state, from, news, commands);
    } else if (ApplyNews(state, from, news, now, commands)) {
      changed.push_back(news);
    }
  }
  ForwardIfRemote(state, from, std::move(changed), commands);
  return commands;
}

MembershipCommands ApplyLeaving(MembershipState& state,
                                const NodeId& from,
                                const LeavingMessage& message,
                                TimePoint now) {
  MembershipCommands commands;
  const NodeId& node = message.node.empty() ? from : message.node;
  const auto found = state.entries.find(node);
  if (found == state.entries.end()) {
    return commands;
  }
  Member news = found->second.member;
  news.incarnation = message.incarnation;
  news.heartbeat = std::max(message.heartbeat, news.heartbeat);
  news.state = MemberState::kLeaving;
  if (ApplyNews(state, from, news, now, commands)) {
    ForwardIfRemote(state, from, {news}, commands);
  }
  return commands;
}

MembershipCommands StartLeaving(MembershipState& state, TimePoint) {
  MembershipCommands commands;
  state.self.state = MemberState::kLeaving;
  ++state.self.heartbeat;
  const LeavingMessage message{state.self.node, state.self.incarnation,
                               state.self.heartbeat};
  for (const auto& [node, entry] : state.entries) {
    if (entry.is_connected) {
      commands.push_back(SendToPeer{node, message});
    }
  }
  return commands;
}

}  // namespace peridotmill
