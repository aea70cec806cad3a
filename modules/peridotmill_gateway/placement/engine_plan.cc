#include "peridotmill_gateway/placement/engine_plan.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/placement/endpoint_placement.h"

namespace peridotmill {
namespace {

// Reading a shared prefix again costs this much more than its time: the
// operators price it beside.
constexpr double kReadAgainFactor = 2.2;
// Share of a shared prefix by which the engine that comes first in order is
// preferred while it is not known to hold the prefix.
constexpr double kLikelyHolderShare = 0.5;
// Streams that run beside slow an engine's reading: each token read lately
// counts as this much of a waiting one.
constexpr double kRecentWeight = 0.15;
constexpr Duration kRecentHalfLife = std::chrono::seconds(2);
// Random part of the cost in tokens; breaks ties.
constexpr double kJitterTokens = 100;
// A prompt is read within this time and the time that its own and the earlier
// prompts take at the slowest reading rate seen, 20 tokens a millisecond.
constexpr Duration kLongestSilence = std::chrono::milliseconds(1000);
constexpr double kSlowestTokensPerMs = 20;
// Share of an engine's memory that shared prefixes are believed to keep; the
// rest holds running requests.
constexpr double kPrefixMemoryShare = 0.5;

PlannedEngine& EngineOf(EnginePlan& plan, const Endpoint& endpoint) {
  PlannedEngine& engine = plan.engines[endpoint.registration.id];
  if (engine.started_at_ms != endpoint.registration.started_at_ms) {
    engine = PlannedEngine();
    engine.started_at_ms = endpoint.registration.started_at_ms;
  }
  return engine;
}

double RecentTokens(const PlannedEngine& engine, TimePoint now) {
  return engine.recent_tokens *
         ExponentialDecay(now - engine.recent_at, kRecentHalfLife);
}

double TokensToRead(const PlannedEngine& engine, const PromptDemand& prompt) {
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

// Forgets the prefixes that were placed longest ago.
void FitPrefixes(PlannedEngine& engine, int64_t memory_tokens) {
  const auto limit = static_cast<int64_t>(kPrefixMemoryShare *
                                          static_cast<double>(memory_tokens));
  while (engine.known_tokens > limit && engine.prefixes.size() > 1) {
    const auto oldest =
        std::min_element(engine.prefixes.begin(), engine.prefixes.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.used < b.second.used;
                         });
    engine.known_tokens -= oldest->second.tokens;
    engine.prefixes.erase(oldest);
  }
}

// Engines that have left a prompt unanswered for longer than reading takes.
std::unordered_map<EndpointId, bool> FindSilent(const EnginePlan& plan,
                                                TimePoint now) {
  std::unordered_map<EndpointId, bool> silent;
  for (const auto& [request, placed] : plan.placed) {
    const auto engine = plan.engines.find(placed.engine);
    const double unread =
        engine == plan.engines.end() ? 0 : engine->second.unread_tokens;
    if (now - placed.placed >
        kLongestSilence + FromMilliseconds(unread / kSlowestTokensPerMs)) {
      silent[placed.engine] = true;
    }
  }
  return silent;
}

}  // namespace

EndpointPtr PlacePrompt(EnginePlan& plan,
                        const std::vector<EndpointPtr>& serving,
                        const RequestId& request,
                        const PromptDemand& prompt,
                        const FailureDomainId& data_domain,
                        int64_t data_bytes,
                        int64_t memory_tokens,
                        TimePoint now,
                        Random& random) {
  RemovePrompt(plan, request);
  const auto silent = FindSilent(plan, now);
  // A coordinator that knows no holder begins where another one, or a node that
  // places a prompt itself, begins too.
  const EndpointPtr likely =
      prompt.shared.empty()
          ? nullptr
          : FindHolder(serving, PrefixAffinity(prompt.shared));
  EndpointPtr best;
  bool is_best_silent = false;
  double best_cost = 0;
  for (const EndpointPtr& endpoint : serving) {
    const PlannedEngine& engine = EngineOf(plan, *endpoint);
    const bool is_silent = silent.contains(endpoint->registration.id) ||
                           endpoint->ejected_until > now ||
                           IsDomainAvoided(*endpoint->domain, now);
    double cost = engine.unread_tokens +
                  kReadAgainFactor * TokensToRead(engine, prompt) +
                  kRecentWeight * RecentTokens(engine, now) +
                  kJitterTokens * random.Unit();
    if (endpoint == likely) {
      cost -= kLikelyHolderShare *
              std::min(TokensToRead(engine, prompt), SharedTokens(prompt));
    }
    if (endpoint->registration.failure_domain != data_domain) {
      cost += MovingCostTokens(data_bytes);
    }
    if (best == nullptr || (is_best_silent && !is_silent) ||
        (is_best_silent == is_silent && cost < best_cost)) {
      best = endpoint;
      best_cost = cost;
      is_best_silent = is_silent;
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  PlannedEngine& engine = EngineOf(plan, *best);
  const double unread = TokensToRead(engine, prompt);
  plan.placed[request] = {best->registration.id, unread, now};
  engine.unread_tokens += unread;
  engine.recent_tokens = RecentTokens(engine, now) + unread;
  engine.recent_at = now;
  for (const SharedPrefix& prefix : prompt.shared) {
    const auto [known, is_new] = engine.prefixes.try_emplace(prefix.hash);
    known->second.used = now;
    if (is_new) {
      known->second.tokens = prefix.tokens;
      engine.known_tokens += prefix.tokens;
    }
  }
  FitPrefixes(engine, memory_tokens);
  return best;
}

void RemovePrompt(EnginePlan& plan, const RequestId& request) {
  const auto placed = plan.placed.find(request);
  if (placed == plan.placed.end()) {
    return;
  }
  const auto engine = plan.engines.find(placed->second.engine);
  if (engine != plan.engines.end()) {
    engine->second.unread_tokens = std::max(
        0.0, engine->second.unread_tokens - placed->second.unread_tokens);
  }
  plan.placed.erase(placed);
}

}  // namespace peridotmill
