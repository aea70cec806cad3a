#include "peridotmill_gateway/placement/prompt_placement.h"

#include <algorithm>
#include <string>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/placement/endpoint_placement.h"
#include "peridotmill_gateway/placement/stream_stalls.h"

namespace peridotmill {
namespace {

// Weight of the tokens to prefill for the prompt itself. Above 1, because the
// operators price the prefill of a shared prefix in addition to its time.
constexpr double kPrefillCostFactor = 2.2;
// Fixed part of the time until an engine responds, at its pace.
constexpr double kResponseCostTokens = 1250;
// Share of a shared prefix by which the prefix's rendezvous engine is preferred
// while no prompt with the prefix was placed there.
constexpr double kRendezvousEngineDiscount = 0.5;
// Decode of running requests slows an engine's prefill: each recently prefilled
// token counts as this fraction of a pending token.
constexpr double kRecentPrefillWeight = 0.15;
constexpr Duration kRecentPrefillHalfLife = std::chrono::seconds(2);
// Advantage of the engine that was intended when the request was admitted,
// since its data was produced near that engine.
constexpr double kIntendedEngineDiscountTokens = 500;
// An engine is unresponsive if it has not responded to a prompt within the base
// timeout plus the prefill time of all its pending prompts, at the slowest
// observed prefill rate of 20 tokens per millisecond.
constexpr Duration kBaseResponseTimeout = std::chrono::milliseconds(1000);
constexpr double kMinPrefillTokensPerMs = 20;
// Share of an engine's KV cache that is assumed to hold shared prefixes; the
// rest holds running requests.
constexpr double kPrefixCacheShare = 0.5;
// Time in which half of the streams of short answers end.
constexpr Duration kStreamHalfLife = std::chrono::milliseconds(700);
// Cost of an answer that is late, or pauses for too long: as much as prefilling
// a medium prompt.
constexpr double kLateAnswerCostTokens = 8'000;

// Returns the state of an engine, which is reset if the engine has restarted.
EngineState& GetEngineState(PromptPlacements& placements,
                            const Endpoint& endpoint) {
  EngineState& engine = placements.engines[endpoint.registration.id];
  if (engine.started_at_ms != endpoint.registration.started_at_ms) {
    engine = EngineState();
    engine.started_at_ms = endpoint.registration.started_at_ms;
  }
  return engine;
}

double DecayedRecentPrefillTokens(const EngineState& engine, TimePoint now) {
  return engine.recent_prefill_tokens *
         ExponentialDecay(now - engine.recent_updated_at,
                          kRecentPrefillHalfLife);
}

// Returns the tokens of a prompt that are not assumed to be in the KV cache.
double TokensToPrefill(const EngineState& engine, const PromptDemand& prompt) {
  double tokens = static_cast<double>(prompt.tokens);
  for (const SharedPrefix& prefix : prompt.shared) {
    if (!engine.prefixes.contains(prefix.hash)) {
      break;
    }
    tokens -= static_cast<double>(prefix.tokens);
  }
  return std::max(tokens, 0.0);
}

double SharedTokens(const PromptDemand& prompt) {
  double tokens = 0;
  for (const SharedPrefix& prefix : prompt.shared) {
    tokens += static_cast<double>(prefix.tokens);
  }
  return tokens;
}

// Removes the least recently placed prefixes beyond the assumed cache capacity.
void EvictPrefixes(EngineState& engine, int64_t memory_tokens) {
  const auto limit = static_cast<int64_t>(kPrefixCacheShare *
                                          static_cast<double>(memory_tokens));
  while (engine.cached_prefix_tokens > limit && engine.prefixes.size() > 1) {
    const auto oldest =
        std::min_element(engine.prefixes.begin(), engine.prefixes.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.last_placed < b.second.last_placed;
                         });
    engine.cached_prefix_tokens -= oldest->second.tokens;
    engine.prefixes.erase(oldest);
  }
}

// Returns whether any of these engines has stated its pace.
bool StatePace(const std::vector<EndpointPtr>& serving) {
  return std::any_of(serving.begin(), serving.end(),
                     [](const EndpointPtr& endpoint) {
                       return endpoint->pace.stated_at.has_value();
                     });
}

// Returns the cost of a prompt at an engine before preferences. In a pool of
// engines that state their pace, all but the price of the prefill is time, and
// counts by the engine's pace.
double PromptCostTokens(const EngineState& engine,
                        double tokens_to_prefill,
                        bool is_uneven,
                        TimePoint now) {
  const double recent_tokens =
      kRecentPrefillWeight * DecayedRecentPrefillTokens(engine, now);
  if (!is_uneven) {
    return engine.pending_prefill_tokens +
           kPrefillCostFactor * tokens_to_prefill + recent_tokens;
  }
  return (kPrefillCostFactor - 1) * tokens_to_prefill +
         EstimateEnginePace(engine.pace, now) *
             (kResponseCostTokens + engine.pending_prefill_tokens +
              tokens_to_prefill + recent_tokens);
}

double DecayedOpenStreams(const EngineState& engine, TimePoint now) {
  return engine.open_streams *
         ExponentialDecay(now - engine.streams_updated_at, kStreamHalfLife);
}

// Returns the cost of the answers that are late if the prompt is placed at an
// engine: its own, and those of streams that its prefill holds up.
double LateAnswerCostTokens(const PromptPlacements& placements,
                            const EngineState& engine,
                            const PromptDemand& prompt,
                            const PromptData& data,
                            TimePoint now) {
  const auto usual = placements.usual_paces.find(prompt.pool);
  if (usual == placements.usual_paces.end()) {
    return 0;
  }
  const PrefillBacklog backlog = {
      .pending_tokens = engine.pending_prefill_tokens,
      .pending_prompts = static_cast<double>(engine.pending_prompts),
      .open_streams = DecayedOpenStreams(engine, now),
      .new_tokens = TokensToPrefill(engine, prompt),
      .tokens_per_ms = PrefillTokensPerMs(engine.pace, usual->second, now)};
  double late_answers = 0;
  if (prompt.due) {
    late_answers += PredictLateness(backlog, *prompt.due - now);
  }
  if (data.max_pause) {
    late_answers += PredictStalledStreams(backlog, *data.max_pause);
  }
  return kLateAnswerCostTokens * late_answers;
}

// Returns the engines that have not responded to a prompt for longer than its
// prefill can take.
std::unordered_map<EndpointId, bool> FindUnresponsiveEngines(
    const PromptPlacements& placements,
    TimePoint now) {
  std::unordered_map<EndpointId, bool> unresponsive;
  for (const auto& [request, placed] : placements.placed) {
    const auto engine = placements.engines.find(placed.engine);
    const double pending_tokens = engine == placements.engines.end()
                                      ? 0
                                      : engine->second.pending_prefill_tokens;
    if (now - placed.placed >
        kBaseResponseTimeout +
            FromMilliseconds(pending_tokens / kMinPrefillTokensPerMs)) {
      unresponsive[placed.engine] = true;
    }
  }
  return unresponsive;
}

}  // namespace

EndpointPtr PreviewEngine(PromptPlacements& placements,
                          const std::vector<EndpointPtr>& serving,
                          const PromptDemand& prompt,
                          const PromptData& data,
                          TimePoint now) {
  const auto unresponsive = FindUnresponsiveEngines(placements, now);
  // Coordinators without state, and nodes that choose an engine themselves,
  // prefer the same engine for a prefix.
  const EndpointPtr rendezvous_engine =
      prompt.shared.empty()
          ? nullptr
          : FindRendezvousEndpoint(serving, PrefixAffinity(prompt.shared));
  const bool is_uneven = StatePace(serving);
  EndpointPtr best;
  bool is_best_unresponsive = false;
  double best_cost_tokens = 0;
  for (const EndpointPtr& endpoint : serving) {
    // The node that calls a warming engine has to check its own turn.
    if (IsHeldOff(*endpoint, now) || IsWarmingUp(endpoint->warm_up, now)) {
      continue;
    }
    const EngineState& engine = GetEngineState(placements, *endpoint);
    const bool is_unresponsive =
        unresponsive.contains(endpoint->registration.id) ||
        endpoint->ejected_until > now ||
        IsDomainAvoided(*endpoint->domain, now);
    const double tokens_to_prefill = TokensToPrefill(engine, prompt);
    double cost_tokens =
        PromptCostTokens(engine, tokens_to_prefill, is_uneven, now);
    if (endpoint == rendezvous_engine) {
      cost_tokens -= kRendezvousEngineDiscount *
                     std::min(tokens_to_prefill, SharedTokens(prompt));
    }
    if (!data.domain.empty() &&
        endpoint->registration.failure_domain != data.domain) {
      cost_tokens += TransferCostTokens(data.bytes);
    }
    if (endpoint->registration.id == data.intended_engine) {
      cost_tokens -= kIntendedEngineDiscountTokens;
    }
    if (is_uneven) {
      cost_tokens +=
          LateAnswerCostTokens(placements, engine, prompt, data, now);
    }
    if (best == nullptr || (is_best_unresponsive && !is_unresponsive) ||
        (is_best_unresponsive == is_unresponsive &&
         cost_tokens < best_cost_tokens)) {
      best = endpoint;
      best_cost_tokens = cost_tokens;
      is_best_unresponsive = is_unresponsive;
    }
  }
  return best;
}

EndpointPtr PlacePrompt(PromptPlacements& placements,
                        const std::vector<EndpointPtr>& serving,
                        const RequestId& request,
                        const PromptDemand& prompt,
                        const PromptData& data,
                        int64_t memory_tokens,
                        TimePoint now) {
  RemovePrompt(placements, request);
  EndpointPtr best = PreviewEngine(placements, serving, prompt, data, now);
  if (best == nullptr) {
    return nullptr;
  }
  EngineState& engine = GetEngineState(placements, *best);
  const double pending_tokens = TokensToPrefill(engine, prompt);
  placements.placed[request] = {best->registration.id, pending_tokens, now,
                                prompt.pool,
                                engine.pending_prefill_tokens + pending_tokens};
  engine.pending_prefill_tokens += pending_tokens;
  ++engine.pending_prompts;
  engine.recent_prefill_tokens =
      DecayedRecentPrefillTokens(engine, now) + pending_tokens;
  engine.recent_updated_at = now;
  for (const SharedPrefix& prefix : prompt.shared) {
    const auto [prefix_entry, is_new] =
        engine.prefixes.try_emplace(prefix.hash);
    prefix_entry->second.last_placed = now;
    if (is_new) {
      prefix_entry->second.tokens = prefix.tokens;
      engine.cached_prefix_tokens += prefix.tokens;
    }
  }
  EvictPrefixes(engine, memory_tokens);
  return best;
}

void RecordPromptResponse(PromptPlacements& placements,
                          const RequestId& request,
                          EventSink& events,
                          TimePoint now) {
  const auto placed = placements.placed.find(request);
  if (placed == placements.placed.end()) {
    return;
  }
  const auto engine = placements.engines.find(placed->second.engine);
  if (engine != placements.engines.end()) {
    engine->second.open_streams = DecayedOpenStreams(engine->second, now) + 1;
    engine->second.streams_updated_at = now;
    EnginePace& pace = engine->second.pace;
    RecordResponseTime(pace, placements.usual_paces[placed->second.pool],
                       placed->second.tokens_until_response,
                       now - placed->second.placed, now);
    if (UpdateIsSlow(pace, now)) {
      events.Write(pace.is_slow ? "engine_slow" : "engine_no_longer_slow",
                   {{"engine", engine->first.value()},
                    {"pace", std::to_string(EstimateEnginePace(pace, now))}});
    }
  }
  RemovePrompt(placements, request);
}

size_t CountSlowEngines(const PromptPlacements& placements) {
  return static_cast<size_t>(std::count_if(
      placements.engines.begin(), placements.engines.end(),
      [](const auto& entry) { return entry.second.pace.is_slow; }));
}

void RemovePrompt(PromptPlacements& placements, const RequestId& request) {
  const auto placed = placements.placed.find(request);
  if (placed == placements.placed.end()) {
    return;
  }
  const auto engine = placements.engines.find(placed->second.engine);
  if (engine != placements.engines.end()) {
    engine->second.pending_prefill_tokens =
        std::max(0.0, engine->second.pending_prefill_tokens -
                          placed->second.pending_prefill_tokens);
    engine->second.pending_prompts =
        std::max(0, engine->second.pending_prompts - 1);
  }
  placements.placed.erase(placed);
}

}  // namespace peridotmill
