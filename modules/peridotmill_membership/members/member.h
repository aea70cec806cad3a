#ifndef PERIDOTMILL_MEMBERSHIP_MEMBERS_MEMBER_H_
#define PERIDOTMILL_MEMBERSHIP_MEMBERS_MEMBER_H_

#include <cstdint>
#include <string>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/units/units.h"

namespace peridotmill {

enum class MemberState : uint8_t { kAlive, kSuspect, kLeaving, kDead };

// One entry node as known to this node.
struct Member {
  NodeId node;
  // Peer address, "address:port".
  std::string address;
  FailureDomainId failure_domain;
  // 0 until the member itself or a peer that knows it was heard.
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  // Counted by the member itself; orders news of one incarnation.
  uint32_t heartbeat = 0;

  friend bool operator==(const Member&, const Member&) = default;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_MEMBERSHIP_MEMBERS_MEMBER_H_
