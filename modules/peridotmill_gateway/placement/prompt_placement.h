#ifndef PERIDOTMILL_GATEWAY_PLACEMENT_PROMPT_PLACEMENT_H_
#define PERIDOTMILL_GATEWAY_PLACEMENT_PROMPT_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/pace/engine_pace.h"
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
  // A prefix that is assumed to be in the KV cache: the time at which a prompt
  // with this prefix was placed last, and the tokens of the prefix.
  struct CachedPrefix {
    TimePoint last_placed;
    int64_t tokens = 0;
  };
  // Cached prefixes by hash, and the sum of their tokens.
  std::unordered_map<uint64_t, CachedPrefix> prefixes;
  int64_t cached_prefix_tokens = 0;
  EnginePace pace;
  // Placed prompts whose engine has not responded yet.
  int pending_prompts = 0;
  // Streams that the engine has begun to write; decays with kStreamHalfLife.
  double open_streams = 0;
  TimePoint streams_updated_at;
};

// A placed prompt whose engine has not responded yet.
struct PlacedPrompt {
  EndpointId engine;
  double pending_prefill_tokens = 0;
  TimePoint placed;
  PoolId pool;
  // Uncached tokens of this prompt and of those that were pending before it.
  double tokens_until_response = 0;
};

// Engines of one coordinator and the prompts placed at them.
struct PromptPlacements {
  std::unordered_map<EndpointId, EngineState> engines;
  std::unordered_map<RequestId, PlacedPrompt> placed;
  std::unordered_map<PoolId, UsualPace> usual_paces;
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
// engine gets no more prompts while other engines are left. Where engines state
// that their pace differs, the time that a prompt takes at each of them counts
// by the pace that was learned there. Called at admission, the result says
// where the stages should run.
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

// Removes a placed prompt whose engine has responded, and learns the engine's
// pace from it. Logs that the engine has become slow, or is no longer slow.
// Does nothing if the prompt is not placed.
void RecordPromptResponse(PromptPlacements& placements,
                          const RequestId& request,
                          EventSink& events,
                          TimePoint now);

// Returns the number of engines that are slow; see UpdateIsSlow.
size_t CountSlowEngines(const PromptPlacements& placements);

// Removes a placed prompt without a response; does nothing if the prompt is not
// placed.
void RemovePrompt(PromptPlacements& placements, const RequestId& request);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PLACEMENT_PROMPT_PLACEMENT_H_
