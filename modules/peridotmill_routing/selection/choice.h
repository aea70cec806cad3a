#ifndef PERIDOTMILL_ROUTING_SELECTION_CHOICE_H_
#define PERIDOTMILL_ROUTING_SELECTION_CHOICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "peridotmill_config/objects/objects.h"
#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// One stage that needs an endpoint.
struct EndpointChoiceRequest {
  PoolId pool;
  // "model@version", or empty when any endpoint of the pool will do.
  std::string model;
  // 0 means none.
  uint64_t prefix_hash = 0;
  std::vector<EndpointId> excluded;
  RoutingPolicy policy = RoutingPolicy::kDefault;
  double attainment_weight = 0.5;
  // Learned median of the stage and size class.
  Duration expected{};
  // Whether the call may be the probe of an endpoint that failed before.
  bool is_idempotent = true;
  // How long the request has been waiting for this pool.
  Duration waited{};
};

// Parts of one candidate's score in milliseconds; the lowest total wins.
struct CandidateScore {
  EndpointId endpoint;
  double wait = 0;
  // Drawn for the load that others have added since the last report.
  double unreported_wait = 0;
  // How much slower than expected the endpoint answers.
  double slowness = 0;
  double failures = 0;
  double distance = 0;
  double cold_model = 0;
  double prefix_benefit = 0;

  double total() const {
    return wait + unreported_wait + slowness + failures + distance +
           cold_model - prefix_benefit;
  }
};

enum class EndpointChoiceOutcome : uint8_t {
  kChosen,
  // Usable endpoints exist, but none has a free slot; wait in the queue.
  kSaturated,
  // No endpoint of the pool can be used; queueing would not help.
  kNoUsableEndpoint,
};

struct EndpointChoice {
  EndpointChoiceOutcome outcome = EndpointChoiceOutcome::kNoUsableEndpoint;
  // Set when an endpoint was chosen.
  std::optional<EndpointId> endpoint;
  // Whether the call tries an endpoint that was ejected.
  bool is_probe = false;
  // Whether the endpoint is outside the node's failure domain.
  bool is_foreign = false;
  // Set when saturated and other domains have free slots that open to the
  // request once it has waited this long.
  std::optional<Duration> spill_over_after;
  // What was compared, for explanations.
  std::vector<CandidateScore> candidates;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_SELECTION_CHOICE_H_
