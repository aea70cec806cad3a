#ifndef PERIDOTMILL_ACTIONS_ORIGIN_ORIGIN_STATE_H_
#define PERIDOTMILL_ACTIONS_ORIGIN_ORIGIN_STATE_H_

#include <map>
#include <vector>

#include "peridotmill_actions/home/home_of.h"
#include "peridotmill_actions/messages/action_command.h"

namespace peridotmill {

// Bound of open actions; with answers of 16 KB each that is 32 MB.
inline constexpr size_t kMaxOpenActions = 2048;
inline constexpr size_t kMaxOpenLookups = 1024;

enum class OriginPhase : uint8_t {
  // Waits for a final ClaimReply.
  kAsking,
  // Granted; the request engine runs the action.
  kRunning,
  // The outcome or the void is sent until it is acknowledged.
  kSettling,
};

// Where an exchange with the home node stands.
struct HomeExchange {
  NodeId target;
  TimePoint next_send;
  int32_t sends = 0;
  // Sends since the target's last reply.
  int32_t unanswered = 0;
  // The origin handles the bucket itself because the home did not answer.
  bool is_own = false;
};

struct OpenAction {
  RequestId request;
  TeamId team;
  IdempotencyKey key;
  std::string request_digest;
  TimePoint deadline;
  OriginPhase phase = OriginPhase::kAsking;
  HomeExchange exchange;
  // Last provisional reply.
  ClaimStatus status = ClaimStatus::kPending;
  NodeId holder;
  Incarnation holder_incarnation;
  // While settling.
  OutcomeRecord outcome;
};

struct OpenLookup {
  ActionLookup lookup;
  TimePoint deadline;
  HomeExchange exchange;
};

struct OriginState {
  NodeId self;
  Incarnation incarnation;
  std::chrono::seconds retention{3600};
  std::vector<ActionNode> nodes;
  std::map<Nonce, OpenAction> actions;
  std::map<RequestId, OpenLookup> lookups;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_ORIGIN_ORIGIN_STATE_H_
