#ifndef PERIDOTMILL_MEMBERSHIP_MEMBERS_TOPOLOGY_H_
#define PERIDOTMILL_MEMBERSHIP_MEMBERS_TOPOLOGY_H_

#include <cstdint>
#include <set>
#include <vector>

#include "peridotmill_membership/members/membership.h"

namespace peridotmill {

// Whether the member may be given work: alive or only suspect.
bool IsUsable(const Member& member);

// Usable members of a failure domain in order of node id, with this node if it
// belongs to it.
std::vector<NodeId> UsableMembers(const MembershipState& state,
                                  const FailureDomainId& domain);
// Usable members of all domains, with this node.
std::vector<NodeId> UsableMembers(const MembershipState& state);

std::set<FailureDomainId> KnownDomains(const MembershipState& state);

// The two usable members with the lowest rendezvous score for their domain.
// When fewer are usable, listed dead members fill the places, so that a domain
// that was cut off is found again.
std::vector<NodeId> RelaysOf(const MembershipState& state,
                             const FailureDomainId& domain);
bool IsRelay(const MembershipState& state);

// Connected peers within this node's domain, and connected relays of other
// domains (empty unless this node is a relay).
std::vector<NodeId> ConnectedDomainPeers(const MembershipState& state);
std::vector<NodeId> ConnectedRemoteRelays(const MembershipState& state);

// Whether this relay, and not the domain's other one, exchanges summaries with
// `domain`. The two relays share the work by rendezvous.
bool ServesDomain(const MembershipState& state, const FailureDomainId& domain);

// Peers that this node keeps connections to.
std::set<NodeId> WantedPeers(const MembershipState& state);

// Hash of what a digest compares: node, incarnation and state of all members.
// Suspicion and heartbeats are left out, because they differ between nodes.
uint64_t MembersHash(const MembershipState& state);

// At most `limit` records including this node's, beginning at a random place.
std::vector<Member> MembersForRepair(MembershipState& state, size_t limit);

}  // namespace peridotmill

#endif  // PERIDOTMILL_MEMBERSHIP_MEMBERS_TOPOLOGY_H_
