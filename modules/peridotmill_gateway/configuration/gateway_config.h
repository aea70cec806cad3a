#ifndef PERIDOTMILL_GATEWAY_CONFIGURATION_GATEWAY_CONFIG_H_
#define PERIDOTMILL_GATEWAY_CONFIGURATION_GATEWAY_CONFIG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "peridotmill_core/http/http_message.h"
#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/units/units.h"

namespace peridotmill {

// What may be repeated of a route's requests.
enum class RequestKind : uint8_t {
  kIdempotent,
  kNonIdempotent,
  // An event stream; not idempotent unless its route is resumable.
  kStream,
};

// A pool that takes a share of a route's requests.
struct WeightedPool {
  PoolId pool;
  // At least 0; shares are proportional.
  double weight = 1;
};

// Work on a stage pool that precedes the request itself.
struct StageDefinition {
  PoolId pool;
  // Positions of the stages whose results this one takes.
  std::vector<size_t> after;
  // Approximate size of one result.
  int64_t result_bytes = 0;
};

// Which requests go where, and under which rules.
struct RouteDefinition {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  // Longest time that a request is kept waiting.
  Duration timeout = std::chrono::seconds(10);
  // Within which an answer, or a stream's first event, is on time.
  Duration target_latency = std::chrono::seconds(1);
  // 0 is the most urgent.
  int priority = 0;
  std::vector<WeightedPool> pools;
  // Endpoints on which one request may run.
  int max_attempts = 1;
  std::vector<StageDefinition> stages;
  // Needs no team key.
  bool is_public = false;
  bool is_resumable = false;
  // Longest pause between two events of a stream that is on time.
  std::optional<Duration> target_event_gap;

  bool IsSafeToRetry() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStream && is_resumable);
  }
};

// Engines that generate, seen as one pool.
struct EnginePoolDefinition {
  // Requests that an engine processes at once.
  int slots = 1;
  // Tokens that an engine's memory holds.
  int64_t memory_tokens = 0;
};

// Endpoints that work on batches of stage items.
struct StagePoolDefinition {
  // Calls that an endpoint works on at once, and that may wait there.
  int max_concurrent_calls = 1;
  int max_queued_calls = 0;
  // Items of one call.
  int batch_size = 1;
  // Time for a call, and added for each item.
  Duration call_time = Duration::zero();
  Duration item_time = Duration::zero();
  // Room for results at an endpoint; 0 means that it is not limited.
  int64_t result_capacity_bytes = 0;
  // How long an endpoint keeps a result.
  Duration result_retention = std::chrono::seconds(4);
};

struct PoolDefinition {
  PoolId id;
  std::string health_path;
  int max_connections = 0;
  std::optional<EnginePoolDefinition> engines;
  std::optional<StagePoolDefinition> stage;
};

struct TeamDefinition {
  TeamId id;
  std::vector<std::string> keys;
  // Goes before the route's priority.
  std::optional<int> priority;
};

// One accepted configuration.
struct GatewayConfig {
  Revision revision;
  std::vector<RouteDefinition> routes;
  std::vector<PoolDefinition> pools;
  // Empty: requests need no key.
  std::vector<TeamDefinition> teams;
  HttpLimits limits;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_CONFIGURATION_GATEWAY_CONFIG_H_
