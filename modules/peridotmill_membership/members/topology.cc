#include "peridotmill_membership/members/topology.h"

#include <algorithm>
#include <utility>

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {
namespace {

using Scored = std::pair<uint64_t, NodeId>;

void AppendLowest(std::vector<Scored>& scored,
                  size_t count,
                  std::vector<NodeId>& into) {
  std::sort(scored.begin(), scored.end());
  for (const Scored& candidate : scored) {
    if (into.size() >= count) {
      return;
    }
    into.push_back(candidate.second);
  }
}

// Suspicion is a view of one node only and does not change what is repaired.
MemberState SharedState(const Member& member) {
  return member.state == MemberState::kSuspect ? MemberState::kAlive
                                               : member.state;
}

bool Contains(const std::vector<NodeId>& nodes, const NodeId& node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

}  // namespace

bool IsUsable(const Member& member) {
  return member.state == MemberState::kAlive ||
         member.state == MemberState::kSuspect;
}

std::vector<NodeId> UsableMembers(const MembershipState& state,
                                  const FailureDomainId& domain) {
  std::vector<NodeId> nodes;
  for (const auto& [node, entry] : state.entries) {
    if (entry.member.failure_domain == domain && IsUsable(entry.member)) {
      nodes.push_back(node);
    }
  }
  if (state.self.failure_domain == domain && IsUsable(state.self)) {
    nodes.push_back(state.self.node);
    std::sort(nodes.begin(), nodes.end());
  }
  return nodes;
}

std::vector<NodeId> UsableMembers(const MembershipState& state) {
  std::vector<NodeId> nodes;
  for (const auto& [node, entry] : state.entries) {
    if (IsUsable(entry.member)) {
      nodes.push_back(node);
    }
  }
  if (IsUsable(state.self)) {
    nodes.push_back(state.self.node);
  }
  std::sort(nodes.begin(), nodes.end());
  return nodes;
}

std::set<FailureDomainId> KnownDomains(const MembershipState& state) {
  std::set<FailureDomainId> domains = {state.self.failure_domain};
  for (const auto& [node, entry] : state.entries) {
    domains.insert(entry.member.failure_domain);
  }
  return domains;
}

std::vector<NodeId> RelaysOf(const MembershipState& state,
                             const FailureDomainId& domain) {
  const std::string key = "relay/" + domain.value();
  std::vector<Scored> usable;
  for (const NodeId& node : UsableMembers(state, domain)) {
    usable.emplace_back(RendezvousScore(key, node.value()), node);
  }
  std::vector<NodeId> relays;
  AppendLowest(usable, kRelaysPerDomain, relays);
  if (relays.size() < kRelaysPerDomain) {
    std::vector<Scored> dead;
    for (const auto& [node, entry] : state.entries) {
      if (entry.member.failure_domain == domain && entry.is_listed &&
          entry.member.state == MemberState::kDead) {
        dead.emplace_back(RendezvousScore(key, node.value()), node);
      }
    }
    AppendLowest(dead, kRelaysPerDomain, relays);
  }
  return relays;
}

bool IsRelay(const MembershipState& state) {
  return Contains(RelaysOf(state, state.self.failure_domain), state.self.node);
}

std::vector<NodeId> ConnectedDomainPeers(const MembershipState& state) {
  std::vector<NodeId> peers;
  for (const auto& [node, entry] : state.entries) {
    if (entry.is_connected &&
        entry.member.failure_domain == state.self.failure_domain) {
      peers.push_back(node);
    }
  }
  return peers;
}

std::vector<NodeId> ConnectedRemoteRelays(const MembershipState& state) {
  std::vector<NodeId> peers;
  if (!IsRelay(state)) {
    return peers;
  }
  // Every connected remote member counts: a member that believes to be a relay
  // when this node does not think so costs only additional messages.
  for (const auto& [node, entry] : state.entries) {
    if (entry.is_connected &&
        entry.member.failure_domain != state.self.failure_domain) {
      peers.push_back(node);
    }
  }
  return peers;
}

bool ServesDomain(const MembershipState& state, const FailureDomainId& domain) {
  const std::vector<NodeId> relays = RelaysOf(state, state.self.failure_domain);
  if (!Contains(relays, state.self.node)) {
    return false;
  }
  const std::string key = "link/" + domain.value();
  const uint64_t own = RendezvousScore(key, state.self.node.value());
  return std::all_of(relays.begin(), relays.end(), [&](const NodeId& relay) {
    return relay == state.self.node ||
           own < RendezvousScore(key, relay.value());
  });
}

std::set<NodeId> WantedPeers(const MembershipState& state) {
  std::set<NodeId> wanted;
  for (const auto& [node, entry] : state.entries) {
    const bool is_gone =
        entry.member.state == MemberState::kDead && !entry.is_listed;
    if (entry.member.failure_domain == state.self.failure_domain && !is_gone) {
      wanted.insert(node);
    }
  }
  if (!IsRelay(state)) {
    return wanted;
  }
  for (const FailureDomainId& domain : KnownDomains(state)) {
    if (domain != state.self.failure_domain) {
      for (const NodeId& relay : RelaysOf(state, domain)) {
        wanted.insert(relay);
      }
    }
  }
  return wanted;
}

uint64_t MembersHash(const MembershipState& state) {
  // Added up, so that the order does not matter.
  uint64_t sum = 0;
  const auto add = [&sum](const Member& member) {
    if (member.state != MemberState::kDead) {
      sum += Hash64(member.node.value(),
                    static_cast<uint64_t>(member.incarnation.value()) * 4 +
                        static_cast<uint64_t>(SharedState(member)));
    }
  };
  add(state.self);
  for (const auto& [node, entry] : state.entries) {
    add(entry.member);
  }
  return sum;
}

std::vector<Member> MembersForRepair(MembershipState& state, size_t limit) {
  std::vector<Member> members = {state.self};
  if (state.entries.empty()) {
    return members;
  }
  auto next = state.entries.begin();
  std::advance(next, state.random.Below(state.entries.size()));
  for (size_t i = 0; i < state.entries.size() && members.size() < limit; ++i) {
    // Seeds that were never heard of are no news.
    if (next->second.member.incarnation.value() != 0) {
      members.push_back(next->second.member);
      members.back().state = SharedState(next->second.member);
    }
    if (++next == state.entries.end()) {
      next = state.entries.begin();
    }
  }
  return members;
}

}  // namespace peridotmill
