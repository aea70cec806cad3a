#ifndef PERIDOTMILL_NODE_STATE_NODE_STATE_H_
#define PERIDOTMILL_NODE_STATE_NODE_STATE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peridotmill_core/peridotmill_core.h"
#include "peridotmill_limits/peridotmill_limits.h"
#include "peridotmill_node/cost/cost_ledger.h"
#include "peridotmill_node/fleet/fleet_state.h"
#include "peridotmill_node/interface/node_command.h"
#include "peridotmill_node/metrics/node_statistics.h"
#include "peridotmill_node/requests/request_state.h"
#include "peridotmill_node/state/active_config.h"
#include "peridotmill_node/state/decision_log.h"
#include "peridotmill_node/state/node_settings.h"
#include "peridotmill_routing/peridotmill_routing.h"

namespace peridotmill {

// An attempt that has been started and not yet ended.
struct AttemptState {
  RequestId request;
  StageId stage;
  AttemptTicket ticket;
  std::string address;
  bool is_stream = false;
  bool is_hedge = false;
  TimePoint started_at;
  // Tokens that this attempt delivered, and the time of the first.
  uint64_t tokens = 0;
  TimePoint first_token_at;
};

// Stages that wait for an endpoint of one pool.
struct PoolQueue {
  FairQueue queue;
  // When the next waiting stage may be served by other failure domains.
  std::optional<TimePoint> retry_at;
};

// All state of one node. Only Step() changes it.
struct NodeState {
  NodeSettings settings;
  Random random{0};

  ActiveConfig config;
  HostList host_list;
  EndpointTable endpoints;
  PrefixIndex prefixes;
  ServiceTimeEstimator estimator;
  RetryBudgets retry_budgets;
  AdaptiveLimits limits;
  TeamShares team_shares;

  std::unordered_map<RequestId, RequestState> requests;
  std::unordered_map<AttemptId, AttemptState> attempts;
  std::map<PoolId, PoolQueue> queues;
  // Pools whose queues are served at the end of the step.
  std::set<PoolId> woken_pools;
  // Deadlines of open requests, earliest first.
  std::set<std::pair<TimePoint, RequestId>> deadlines;
  // When running requests are looked at next. @see ReviewRequests
  std::set<std::pair<TimePoint, RequestId>> reviews;
  uint64_t attempt_count = 0;
  uint64_t request_count = 0;

  FleetState fleet;

  ReasonCounters reasons;
  CostLedger ledger;
  NodeStatistics statistics;
  DecisionLog decisions;

  bool is_shutting_down = false;
  // Set when the last request of a node that shuts down has ended.
  std::optional<TimePoint> drain_until;
  bool is_exit_sent = false;
};

// What a step works on.
struct StepContext {
  NodeState& state;
  TimePoint now;
  std::vector<NodeCommand>& commands;
  // Messages of this step; each peer gets its own in one frame.
  std::map<NodeId, std::vector<PeerMessage>> outbox = {};

  // Whether the parts that act with peers and the store changed, so that their
  // next wakeup has to be found again; too costly to do for each token.
  bool is_fleet_touched = false;

  template <typename Command>
  void Emit(Command command) {
    commands.push_back(std::move(command));
  }
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_STATE_NODE_STATE_H_
