#ifndef PERIDOTMILL_ORDERS_ORDERS_STATE_H_
#define PERIDOTMILL_ORDERS_ORDERS_STATE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "peridotmill_config/objects/objects.h"
#include "peridotmill_core/platform/endpoint_load.h"
#include "peridotmill_core/platform/host_list.h"
#include "peridotmill_core/units/quantity.h"
#include "peridotmill_orders/lease/pool_lease.h"
#include "peridotmill_orders/placement/wanted_placement.h"

namespace peridotmill {

// Bounds of the tables: pools under orders and engines of one pool.
inline constexpr size_t kMaxOrderPools = 64;
inline constexpr size_t kMaxOrderEngines = 2048;

// Number of a store call of this module; its answer carries it back.
using OrderOperation = Quantity<struct OrderOperationTag>;

struct OrderStoreCall {
  OrderOperation operation;
  StoreRequest request;
  Duration timeout{};
};

// Orders an engine to have one model version loaded. It is an absolute state,
// so that a repeat is harmless. It must not be sent after `not_after`.
struct ModelOrder {
  PoolId pool;
  EndpointId endpoint;
  std::string address;
  FencingNumber fence;
  std::string model;
  std::string version;
  TimePoint not_after;
};

// Asks the weight store whether the model's weights may be fetched now.
struct WeightsRequest {
  PoolId pool;
  std::string model;
};

struct WeightsReply {
  PoolId pool;
  bool is_permitted = false;
  // With 429.
  Duration retry_after{};
};

using OrderCommand = std::variant<OrderStoreCall, ModelOrder, WeightsRequest>;
using OrderCommands = std::vector<OrderCommand>;

// An engine as its last report shows it.
struct OrderedEngine {
  EndpointRecord record;
  std::optional<EndpointLoad> load;
  TimePoint reported_at;
  // No new order before this time, after a refusal or a time-out.
  TimePoint not_before;
};

enum class ChangeStep : uint8_t { kWeights, kPermitted, kSent };

// The one change that a pool has open.
struct PlacementChange {
  EndpointId endpoint;
  ModelVersionId version;
  ChangeStep step = ChangeStep::kWeights;
  TimePoint started_at;
};

struct PoolOrders {
  Pool pool;
  std::map<ModelVersionId, ModelVersion> versions;
  PoolLease lease;
  OrderOperation lease_operation;
  bool is_candidate = false;
  std::map<EndpointId, OrderedEngine> engines;
  std::map<ModelVersionId, double> demand;
  WantedPlacement placement;
  // Whether `placement` was set from the engines' state under this lease.
  bool is_placement_read = false;
  std::optional<PlacementChange> change;
  // Starts of the changes within the last kPlacementHysteresis.
  std::deque<TimePoint> recent_changes;
  TimePoint weights_not_before;
};

struct OrderCounters {
  uint64_t orders_sent = 0;
  uint64_t orders_refused = 0;
  uint64_t weights_refused = 0;
  uint64_t changes_timed_out = 0;
};

struct OrdersState {
  NodeId self;
  Incarnation incarnation;
  std::map<PoolId, PoolOrders> pools;
  std::map<OrderOperation, PoolId> operations;
  OrderOperation last_operation;
  OrderCounters counters;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_ORDERS_ORDERS_STATE_H_
