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

// A stage of a request for which an endpoint is to be selected.
struct EndpointChoiceRequest {
  PoolId pool;
  // "model@version", or empty when the stage needs no particular model.
  std::string model;
  // Hash of the prompt prefix; 0 when there is none.
  uint64_t prefix_hash = 0;
  std::vector<EndpointId> excluded;
  RoutingPolicy policy = RoutingPolicy::kDefault;
  double attainment_weight = 0.5;
  // Estimated median service time of the stage and size class.
  Duration expected{};
  // Whether the call may be used to probe an ejected endpoint.
  bool is_idempotent = true;
  // How long the request has been waiting for this pool.
  Duration waited{};
};

// Components of one candidate's score in milliseconds. The candidate with the
// lowest total is selected.
struct CandidateScore {
  EndpointId endpoint;
  double wait_ms = 0;
  // Random estimate of the wait due to load that other nodes have added since
  // the last report.
  double unreported_wait_ms = 0;
  // Excess of the endpoint's service time over the expected one.
  double slowdown_ms = 0;
  double failure_penalty_ms = 0;
  double round_trip_ms = 0;
  double cold_model_ms = 0;
  double prefix_benefit_ms = 0;

  double total() const {
    return wait_ms + unreported_wait_ms + slowdown_ms + failure_penalty_ms +
           round_trip_ms + cold_model_ms - prefix_benefit_ms;
  }
};

enum class EndpointChoiceOutcome : uint8_t {
  kChosen,
  // Usable endpoints exist, but none has a free slot; the stage should wait in
  // the queue.
  kSaturated,
  // No endpoint of the pool can be used, so waiting would not help.
  kNoUsableEndpoint,
};

struct EndpointChoice {
  EndpointChoiceOutcome outcome = EndpointChoiceOutcome::kNoUsableEndpoint;
  // Set when `outcome` is kChosen.
  std::optional<EndpointId> endpoint;
  // Whether the call probes an endpoint that was ejected.
  bool is_probe = false;
  // Whether the endpoint is outside the node's failure domain.
  bool is_in_other_domain = false;
  // Set when `outcome` is kSaturated and other domains have free slots, which
  // the request may use once it has waited this long.
  std::optional<Duration> spill_over_after;
  // The candidates that were compared, for explanations of the choice.
  std::vector<CandidateScore> candidates;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_SELECTION_CHOICE_H_
