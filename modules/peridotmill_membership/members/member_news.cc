#include "peridotmill_membership/members/member_news.h"

namespace peridotmill {

bool Supersedes(const Member& news, const Member& known) {
  if (news.incarnation != known.incarnation) {
    return news.incarnation > known.incarnation;
  }
  const bool is_newer = news.heartbeat > known.heartbeat;
  const bool is_older = news.heartbeat < known.heartbeat;
  switch (known.state) {
    case MemberState::kAlive:
    case MemberState::kSuspect:
      if (news.state == MemberState::kLeaving) {
        return true;
      }
      // At equal heartbeats the worse state wins.
      return is_newer || (!is_older && news.state > known.state);
    case MemberState::kLeaving:
      return (news.state == MemberState::kLeaving && is_newer) ||
             (news.state == MemberState::kDead && !is_older);
    case MemberState::kDead:
      return is_newer;
  }
  return false;
}

}  // namespace peridotmill
