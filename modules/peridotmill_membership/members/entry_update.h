#ifndef PERIDOTMILL_MEMBERSHIP_MEMBERS_ENTRY_UPDATE_H_
#define PERIDOTMILL_MEMBERSHIP_MEMBERS_ENTRY_UPDATE_H_

#include <vector>

#include "peridotmill_membership/members/membership.h"

namespace peridotmill {

// Steps shared by the event functions of membership.h.

// Adds a member; null and counted when the table is full.
MemberEntry* AddEntry(MembershipState& state,
                      const Member& member,
                      TimePoint now,
                      MembershipCommands& commands);

// Puts `member` in force and reports a change of state, incarnation or address.
// Returns whether there was one.
bool ReplaceMember(MembershipState& state,
                   MemberEntry& entry,
                   const Member& member,
                   TimePoint now,
                   MembershipCommands& commands);

// Tells all connected peers of this domain.
void ForwardIntoDomain(const MembershipState& state,
                       std::vector<Member> changed,
                       MembershipCommands& commands);

// A changed member of this node's domain is told to the other domains' relays
// and to the domain's other relay, if this node is a relay.
void AnnounceAsRelay(const MembershipState& state,
                     const Member& member,
                     MembershipCommands& commands);

// Delay before the next dial: exponential with jitter from half to one and a
// half times.
Duration DialDelay(MembershipState& state, int failed_dials);

}  // namespace peridotmill

#endif  // PERIDOTMILL_MEMBERSHIP_MEMBERS_ENTRY_UPDATE_H_
