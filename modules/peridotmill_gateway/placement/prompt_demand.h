#ifndef PERIDOTMILL_GATEWAY_PLACEMENT_PROMPT_DEMAND_H_
#define PERIDOTMILL_GATEWAY_PLACEMENT_PROMPT_DEMAND_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "peridotmill_gateway/calls/caller_request.h"
#include "peridotmill_gateway/quarantine/suspect_id.h"

namespace peridotmill {

// A part of a prompt that other requests share. The hash covers this part and
// all earlier parts, so an engine that caches the part caches the earlier ones
// too.
struct SharedPrefix {
  uint64_t hash = 0;
  // Tokens of this part alone.
  int64_t tokens = 0;
};

// The prompt that an engine has to prefill for a request.
struct PromptDemand {
  // Pool of the engines that can serve the request.
  PoolId pool;
  std::vector<SharedPrefix> shared;
  // All tokens of the prompt, shared or not.
  int64_t tokens = 0;
  // What may be quarantined of the request.
  std::vector<SuspectId> suspects = {};
  // When the first event is late, if that is known.
  std::optional<TimePoint> due = std::nullopt;
};

// Returns the parts of a prompt that other requests may share: all parts but
// the last one, which is specific to the request, or the only part.
std::vector<SharedPrefix> ComputeSharedPrefixes(
    const GenerationDemand& generation);

// Returns a hash of the shared prefix, never 0. Requests with the same hash
// begin with the same parts.
// @pre !prefixes.empty()
uint64_t PrefixAffinity(const std::vector<SharedPrefix>& prefixes);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PLACEMENT_PROMPT_DEMAND_H_
