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

// Determines whether a route's requests may be retried after they may have run.
enum class RequestKind : uint8_t {
  kIdempotent,
  kNonIdempotent,
  // An event stream; not idempotent unless its route is resumable.
  kStream,
};

// A pool that receives a part of a route's requests.
struct WeightedPool {
  PoolId pool;
  // At least 0. Each pool receives requests in proportion to its weight.
  double weight = 1;
};

// A stage that runs on a stage pool before the request itself.
struct StageDefinition {
  PoolId pool;
  // Positions of the stages whose results are inputs of this one.
  std::vector<size_t> after;
  // Approximate size of the result of one item.
  int64_t result_bytes = 0;
};

// Selects requests by host and path, and defines their pools, stages and
// limits.
struct RouteDefinition {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  // Maximum duration of a request.
  Duration timeout = std::chrono::seconds(10);
  // Time within which a response, or the first event of a stream, is on time.
  Duration target_latency = std::chrono::seconds(1);
  // 0 is the most urgent.
  int priority = 0;
  std::vector<WeightedPool> pools;
  // Maximum number of attempts that may have run one request; attempts that are
  // known not to have run do not count.
  int max_attempts = 1;
  std::vector<StageDefinition> stages;
  // Whether requests need no team key.
  bool is_public = false;
  bool is_resumable = false;
  // Maximum time between two events of a stream that is on time.
  std::optional<Duration> target_event_gap;

  // Returns whether a request may be retried although an earlier attempt may
  // have run.
  bool IsSafeToRetry() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStream && is_resumable);
  }
};

// Settings of a pool of inference engines.
struct EnginePoolDefinition {
  // Requests that an engine processes concurrently.
  int slots = 1;
  // Capacity of an engine's KV cache in tokens.
  int64_t memory_tokens = 0;
};

// Settings of a pool whose endpoints process batches of stage items.
struct StagePoolDefinition {
  // Maximum number of calls that an endpoint processes concurrently, and of
  // calls in its queue.
  int max_concurrent_calls = 1;
  int max_queued_calls = 0;
  // Maximum number of items in one call.
  int batch_size = 1;
  // Fixed duration of a call, and additional duration for each item.
  Duration call_time = Duration::zero();
  Duration item_time = Duration::zero();
  // Memory for results at an endpoint; 0 means no limit.
  int64_t result_capacity_bytes = 0;
  // Time for which an endpoint keeps a result.
  Duration result_retention = std::chrono::seconds(4);
};

// What the endpoints of a pool tolerate while they warm up after their start.
struct WarmUpDefinition {
  Duration duration = Duration::zero();
  // From all nodes together, at each endpoint.
  double requests_per_second = 0;
};

struct PoolDefinition {
  PoolId id;
  std::string health_path;
  int max_connections = 0;
  std::optional<EnginePoolDefinition> engines;
  std::optional<StagePoolDefinition> stage;
  std::optional<WarmUpDefinition> warm_up;
};

struct TeamDefinition {
  TeamId id;
  // API keys by which requests of the team are recognized.
  std::vector<std::string> keys;
  // Overrides the route's priority.
  std::optional<int> priority;
};

// One revision of the gateway's configuration.
struct GatewayConfig {
  Revision revision;
  std::vector<RouteDefinition> routes;
  std::vector<PoolDefinition> pools;
  // When empty, requests need no key.
  std::vector<TeamDefinition> teams;
  HttpLimits limits;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_CONFIGURATION_GATEWAY_CONFIG_H_
