#ifndef PERIDOTMILL_GATEWAY_PLACEMENT_PROMPT_DEMAND_H_
#define PERIDOTMILL_GATEWAY_PLACEMENT_PROMPT_DEMAND_H_

#include <cstdint>
#include <vector>

#include "peridotmill_gateway/calls/caller_request.h"

namespace peridotmill {

// A part of a prompt that other requests share, named by its own and all
// earlier parts: an engine that has read the part has read those too.
struct SharedPrefix {
  uint64_t hash = 0;
  // Tokens of this part alone.
  int64_t tokens = 0;
};

// What an engine has to read for a request.
struct PromptDemand {
  // The engines' pool.
  PoolId pool;
  std::vector<SharedPrefix> shared;
  // All tokens of the prompt, shared or not.
  int64_t tokens = 0;
};

// The parts that a request shares with others: all but the last one, which is
// its own, unless it is the only one.
std::vector<SharedPrefix> ComputeSharedPrefixes(
    const GenerationDemand& generation);

// Requests with the same affinity begin with the same parts; never 0.
// @pre !prefixes.empty()
uint64_t PrefixAffinity(const std::vector<SharedPrefix>& prefixes);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PLACEMENT_PROMPT_DEMAND_H_
