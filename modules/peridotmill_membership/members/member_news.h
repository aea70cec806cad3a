#ifndef PERIDOTMILL_MEMBERSHIP_MEMBERS_MEMBER_NEWS_H_
#define PERIDOTMILL_MEMBERSHIP_MEMBERS_MEMBER_NEWS_H_

#include "peridotmill_membership/members/member.h"

namespace peridotmill {

// Whether `news` replaces what is known of the same node. A higher incarnation
// replaces a lower one. Within an incarnation, kLeaving replaces kAlive and
// kSuspect whatever their heartbeat, and kDead is refuted only by a higher
// heartbeat.
bool Supersedes(const Member& news, const Member& known);

}  // namespace peridotmill

#endif  // PERIDOTMILL_MEMBERSHIP_MEMBERS_MEMBER_NEWS_H_
