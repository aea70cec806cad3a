#ifndef PERIDOTMILL_GATEWAY_PLACEMENT_ENGINE_PLAN_H_
#define PERIDOTMILL_GATEWAY_PLACEMENT_ENGINE_PLAN_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/maths/random.h"
#include "peridotmill_gateway/placement/prompt_demand.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"

namespace peridotmill {

// What a coordinator knows of one engine from the prompts that it placed there.
struct PlannedEngine {
  // Tells a restarted engine, which has read nothing, from the one before.
  int64_t started_at_ms = 0;
  // Tokens of placed prompts that the engine has to read and has not answered.
  double unread_tokens = 0;
  // Tokens read lately; halves over kRecentHalfLife.
  double recent_tokens = 0;
  TimePoint recent_at;
  // When each known prefix was placed last, and its tokens.
  struct Known {
    TimePoint used;
    int64_t tokens = 0;
  };
  std::unordered_map<uint64_t, Known> prefixes;
  int64_t known_tokens = 0;
};

// A prompt whose engine has not answered yet.
struct PlacedPrompt {
  EndpointId engine;
  double unread_tokens = 0;
  TimePoint placed;
};

struct EnginePlan {
  std::unordered_map<EndpointId, PlannedEngine> engines;
  std::unordered_map<RequestId, PlacedPrompt> placed;
};

// Chooses the engine for a request whose stages are done, and notes the prompt
// there; null when `serving` is empty. Answers engines that are a quarter used
// while single ones have a queue of long prompts: the holder of a shared prefix
// is taken unless reading the prefix again elsewhere takes less time than its
// queue. An engine that leaves prompts unanswered for long gets no more while
// others are left. `data_bytes` lie in `data_domain`; `memory_tokens` is what
// an engine holds.
EndpointPtr PlacePrompt(EnginePlan& plan,
                        const std::vector<EndpointPtr>& serving,
                        const RequestId& request,
                        const PromptDemand& prompt,
                        const FailureDomainId& data_domain,
                        int64_t data_bytes,
                        int64_t memory_tokens,
                        TimePoint now,
                        Random& random);

// The engine has answered, or the request has ended.
void RemovePrompt(EnginePlan& plan, const RequestId& request);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PLACEMENT_ENGINE_PLAN_H_
