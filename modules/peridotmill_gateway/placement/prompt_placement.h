#ifndef PERIDOTMILL_GATEWAY_PLACEMENT_PROMPT_PLACEMENT_H_
#define PERIDOTMILL_GATEWAY_PLACEMENT_PROMPT_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_gateway/placement/prompt_demand.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"

namespace peridotmill {

// Estimated state of one engine, derived from the prompts that a coordinator
// placed there.
struct EngineState {
  // Start time of the engine. A restarted engine has an empty prefix cache.
  int64_t started_at_ms = 0;
  // Uncached tokens of placed prompts whose engine has not responded yet.
  double pending_prefill_tokens = 0;
  // Tokens of recently placed prompts; decays with kRecentPrefillHalfLife.
  double recent_prefill_tokens = 0;
  TimePoint recent_updated_at;
  // Placed prompts whose engine has not responded yet.
  int pending_prompts = 0;
  // Streams that the engine has begun to write; decays with kStreamHalfLife.
  double open_streams = 0;
  TimePoint streams_updated_at;
  // Moving average of the engine's prefill rate; 0 until the first response.
  double prefill_tokens_per_ms = 0;
  TimePoint rate_updated_at;
  // A prefix that is assumed to be in the KV cache: the time at which a prompt
  // with this prefix was placed last, and the tokens of the prefix.
  struct CachedPrefix {
    TimePoint last_placed;
    int64_t tokens = 0;
  };
  // Cached prefixes by hash, and the sum of their tokens.
  std::unordered_map<uint64_t, CachedPrefix> prefixes;
  int64_t cached_prefix_tokens = 0;
};

// A placed prompt whose engine has not responded yet.
struct PlacedPrompt {
  EndpointId engine;
  double pending_prefill_tokens = 0;
  // All tokens that the engine had to prefill until its response, those of
  // earlier prompts included.
  double tokens_until_response = 0;
  TimePoint placed;
};

// Engines of one coordinator and the prompts placed at them.
struct PromptPlacements {
  std::unordered_map<EndpointId, EngineState> engines;
  std::unordered_map<RequestId, PlacedPrompt> placed;
  // Moving average of the rate at which engines prefill; 0 until the first
  // response.
  double prefill_tokens_per_ms = 0;
};

// What an engine has to fetch for a prompt.
struct PromptData {
  // Failure domain that stores the stage results; empty while the stages have
  // not run.
  FailureDomainId domain;
  int64_t bytes = 0;
  // Engine that was intended when the request was admitted; may be empty.
  EndpointId intended_engine;
  // Longest pause of a stream that is still on time, if there is a limit.
  std::optional<Duration> max_pause;
};

// Returns the engine for a prompt without recording it there, or null if
// `serving` is empty or all engines are held off or warming up. Handles pools
// whose engines are a quarter used while single engines have a queue of long
// prompts: an engine that caches a shared prefix is chosen unless prefilling
// the prefix again elsewhere takes less time than its queue. An unresponsive
// engine gets no more prompts while other engines are left. Called at
// admission, the result says where the stages should run.
EndpointPtr PreviewEngine(PromptPlacements& placements,
                          const std::vector<EndpointPtr>& serving,
                          const PromptDemand& prompt,
                          const PromptData& data,
                          TimePoint now);

// Chooses the engine like PreviewEngine for a request whose stages are done,
// and records the prompt there. `memory_tokens` is the KV cache capacity of an
// engine.
EndpointPtr PlacePrompt(PromptPlacements& placements,
                        const std::vector<EndpointPtr>& serving,
                        const RequestId& request,
                        const PromptDemand& prompt,
                        const PromptData& data,
                        int64_t memory_tokens,
                        TimePoint now);

// Records that the engine of a placed prompt has responded, and removes the
// prompt; does nothing if the prompt is not placed.
void RecordPromptResponse(PromptPlacements& placements,
                          const RequestId& request,
                          TimePoint now);

// Removes a placed prompt; does nothing if the prompt is not placed.
void RemovePrompt(PromptPlacements& placements, const RequestId& request);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PLACEMENT_PROMPT_PLACEMENT_H_
