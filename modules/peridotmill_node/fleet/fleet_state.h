#ifndef PERIDOTMILL_NODE_FLEET_FLEET_STATE_H_
#define PERIDOTMILL_NODE_FLEET_FLEET_STATE_H_

#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "peridotmill_actions/peridotmill_actions.h"
#include "peridotmill_config/distribution/config_distribution.h"
#include "peridotmill_membership/peridotmill_membership.h"
#include "peridotmill_node/interface/node_event.h"
#include "peridotmill_orders/peridotmill_orders.h"

namespace peridotmill {

// Whom the answer of a store call belongs to.
using StorePurpose = std::variant<ConfigCall, ActionOperation, OrderOperation>;

// Messages to a node that this node has no connection to yet. Homes of buckets
// may be in any failure domain, so connections to them are opened on demand;
// membership closes them when they are not used any more.
struct WaitingMessages {
  TimePoint since;
  std::vector<PeerMessage> messages;
};
inline constexpr size_t kMaxWaitingMessages = 256;  // per node
inline constexpr Duration kWaitingMessageExpiry = std::chrono::seconds(2);

// What a node knows of the fleet and does together with its peers.
struct FleetState {
  MembershipState members;
  ConfigDistribution distribution;
  EndpointKnowledge knowledge;
  DomainSummaries summaries;
  TeamUseState team_use;
  CacheHintOutbox cache_hints;
  ActionsState actions;
  OrdersState orders;
  TimePoint next_orders_tick;
  // Decayed attempts by order pool and model version.
  std::map<PoolId, std::map<ModelVersionId, double>> demand;

  std::map<NodeId, WaitingMessages> waiting_messages;

  // When TickFleet() is due.
  TimePoint next_wakeup;

  // Endpoints that this node reads once a second.
  std::vector<AssignedEndpoint> assigned;
  TimePoint next_load_read;
  // Names behind the fingerprints that peers send.
  std::unordered_map<Fingerprint, EndpointRecord> endpoints_by_fingerprint;
  std::unordered_map<uint32_t, EndpointId> endpoints_by_hint;
  std::unordered_map<Fingerprint, std::string> models_by_fingerprint;
  std::unordered_map<Fingerprint, TeamId> teams_by_fingerprint;
  TimePoint next_sweep;
  // Last cache event read from each engine.
  std::unordered_map<EndpointId, uint64_t> cache_sequences;

  std::unordered_map<int64_t, StorePurpose> store_calls;
  int64_t store_call_count = 0;
  uint64_t peer_frames_sent = 0;
  uint64_t peer_frames_received = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_FLEET_FLEET_STATE_H_
