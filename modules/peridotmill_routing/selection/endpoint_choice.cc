#include "peridotmill_routing/selection/endpoint_choice.h"

#include <algorithm>
#include <array>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_routing/endpoints/outlier_ejection.h"
#include "peridotmill_routing/selection/baseline_choice.h"
#include "peridotmill_routing/selection/endpoint_score.h"

namespace peridotmill {
namespace {

// Maximum number of random draws before all endpoints are examined. Enough to
// find the candidates when a third of the endpoints is not eligible.
constexpr size_t kMaxDraws = 12;

// Lower bound of the penalty, as a fraction of the expected service time, above
// which the own domain counts as degraded. It takes effect near attainment
// weight 1 and prevents noise from sending work to other domains.
constexpr double kMinDegradedPenaltyFraction = 0.25;

// Whether and how an endpoint can take the request.
enum class Eligibility : uint8_t {
  // Cannot take the request.
  kUnusable,
  // Usable, but without a free slot.
  kBusy,
  kReady,
  // Has failed repeatedly, but too many endpoints of the pool are ejected
  // already. Used only when no other endpoint is left.
  kFailing,
  // Failed some time ago; one call may test whether it has recovered.
  kProbe,
};

struct ChoiceContext {
  const EndpointTable& table;
  const EndpointChoiceRequest& request;
  std::vector<EndpointId> prefix_endpoints;
  TimePoint now;
  bool is_bounded;
};

// Endpoints sampled from the own domain or from the other domains.
struct EndpointSample {
  std::array<const EndpointView*, kRandomCandidates> ready = {};
  size_t ready_count = 0;
  const EndpointView* probe = nullptr;
  const EndpointView* failing = nullptr;
  uint64_t failing_count = 0;
  bool has_busy_endpoint = false;
};

bool IsExcluded(const EndpointChoiceRequest& request,
                const EndpointView& view) {
  return std::find(request.excluded.begin(), request.excluded.end(), view.id) !=
         request.excluded.end();
}

// Returns whether the request may probe the endpoint. A call that is not
// idempotent probes only an endpoint that has reported its load since it
// failed.
bool MayProbe(const EndpointView& view, const EndpointChoiceRequest& request) {
  return view.in_flight == 0 &&
         (request.is_idempotent ||
          (view.has_report && view.reported_at > view.failed_at));
}

Eligibility EligibilityOf(const ChoiceContext& context,
                          const EndpointView& view) {
  if (!IsUsable(view, context.now)) {
    return Eligibility::kUnusable;
  }
  if (!context.request.excluded.empty() && IsExcluded(context.request, view)) {
    return Eligibility::kUnusable;
  }
  if (view.is_on_probation) {
    return MayProbe(view, context.request) ? Eligibility::kProbe
                                           : Eligibility::kUnusable;
  }
  const bool is_busy = context.is_bounded && view.in_flight >= view.limit;
  if (view.consecutive_failures >= kFailuresToEject) {
    if (context.now - view.failed_at >= kBaseEjectionTime &&
        MayProbe(view, context.request)) {
      return Eligibility::kProbe;
    }
    return is_busy ? Eligibility::kUnusable : Eligibility::kFailing;
  }
  return is_busy ? Eligibility::kBusy : Eligibility::kReady;
}

void AddReady(EndpointSample& sample, const EndpointView& view) {
  const auto end =
      sample.ready.begin() + static_cast<std::ptrdiff_t>(sample.ready_count);
  if (std::find(sample.ready.begin(), end, &view) == end) {
    sample.ready[sample.ready_count++] = &view;
  }
}

void AddToSample(EndpointSample& sample,
                 const EndpointView& view,
                 Eligibility eligibility,
                 Random& random) {
  switch (eligibility) {
    case Eligibility::kReady:
      AddReady(sample, view);
      break;
    case Eligibility::kProbe:
      sample.probe = &view;
      break;
    case Eligibility::kFailing:
      if (random.Below(++sample.failing_count) == 0) {
        sample.failing = &view;
      }
      break;
    case Eligibility::kBusy:
      sample.has_busy_endpoint = true;
      break;
    case Eligibility::kUnusable:
      break;
  }
}

// Examines all positions and returns a uniform random sample of the ready
// endpoints (reservoir sampling, Vitter 1985).
EndpointSample SampleAll(const ChoiceContext& context,
                         const std::vector<uint32_t>& positions,
                         Random& random) {
  EndpointSample sample;
  uint64_t seen = 0;
  for (const uint32_t position : positions) {
    const EndpointView& view = context.table.endpoints[position];
    const Eligibility eligibility = EligibilityOf(context, view);
    if (eligibility != Eligibility::kReady) {
      AddToSample(sample, view, eligibility, random);
      continue;
    }
    ++seen;
    if (sample.ready_count < kRandomCandidates) {
      sample.ready[sample.ready_count++] = &view;
    } else if (const uint64_t slot = random.Below(seen);
               slot < kRandomCandidates) {
      sample.ready[slot] = &view;
    }
  }
  return sample;
}

EndpointSample DrawSample(const ChoiceContext& context,
                          const std::vector<uint32_t>& positions,
                          Random& random) {
  if (positions.size() <= kMaxDraws) {
    return SampleAll(context, positions, random);
  }
  EndpointSample sample;
  for (size_t i = 0; i < kMaxDraws && sample.ready_count < kRandomCandidates;
       ++i) {
    const EndpointView& view =
        context.table.endpoints[positions[random.Below(positions.size())]];
    AddToSample(sample, view, EligibilityOf(context, view), random);
  }
  return sample.ready_count == kRandomCandidates
             ? sample
             : SampleAll(context, positions, random);
}

bool HasPrefix(const ChoiceContext& context, const EndpointView& view) {
  return std::find(context.prefix_endpoints.begin(),
                   context.prefix_endpoints.end(),
                   view.id) != context.prefix_endpoints.end();
}

void AddCandidate(EndpointChoice& choice,
                  const ChoiceContext& context,
                  const EndpointView& view) {
  const bool is_candidate = std::any_of(
      choice.candidates.begin(), choice.candidates.end(),
      [&](const CandidateScore& score) { return score.endpoint == view.id; });
  if (!is_candidate) {
    choice.candidates.push_back(
        ScoreEndpoint(context.table, view, context.request,
                      HasPrefix(context, view), context.now));
  }
}

// Adds the best of the endpoints that may have the prefix in their cache.
void AddPrefixCandidate(EndpointChoice& choice, const ChoiceContext& context) {
  const EndpointView* best = nullptr;
  double best_total = 0;
  for (const EndpointId& endpoint : context.prefix_endpoints) {
    const EndpointView* view = FindEndpoint(context.table, endpoint);
    if (view == nullptr || view->pool != context.request.pool ||
        EligibilityOf(context, *view) != Eligibility::kReady) {
      continue;
    }
    const double total =
        ScoreEndpoint(context.table, *view, context.request, true, context.now)
            .total();
    if (best == nullptr || total < best_total) {
      best = view;
      best_total = total;
    }
  }
  if (best != nullptr) {
    AddCandidate(choice, context, *best);
  }
}

void AddSampleCandidates(EndpointChoice& choice,
                         const ChoiceContext& context,
                         const EndpointSample& sample) {
  for (size_t i = 0; i < sample.ready_count; ++i) {
    AddCandidate(choice, context, *sample.ready[i]);
  }
}

void SetChosen(EndpointChoice& choice,
               const EndpointView& view,
               bool is_probe) {
  choice.outcome = EndpointChoiceOutcome::kChosen;
  choice.endpoint = view.id;
  choice.is_probe = is_probe;
  choice.is_in_other_domain = !view.is_own_domain;
}

Duration SpillOverDelay(const EndpointChoiceRequest& request) {
  return FromMilliseconds((1.0 - request.attainment_weight) *
                          ToMilliseconds(request.expected));
}

void ChooseProbe(EndpointChoice& choice,
                 const ChoiceContext& context,
                 const EndpointView& view) {
  AddCandidate(choice, context, view);
  SetChosen(choice, view, true);
}

// Selects the candidate with the lowest score and breaks ties at random: idle
// endpoints all score 0, and a fixed order would send the work of all nodes to
// the first of them.
void ChooseBest(EndpointChoice& choice,
                const ChoiceContext& context,
                Random& random) {
  AddUnreportedWait(context.table, context.request, choice.candidates,
                    context.now, random);
  const CandidateScore* best = nullptr;
  uint64_t tie_count = 0;
  for (const CandidateScore& score : choice.candidates) {
    if (best == nullptr || score.total() < best->total()) {
      best = &score;
      tie_count = 1;
    } else if (score.total() == best->total() &&
               random.Below(++tie_count) == 0) {
      best = &score;
    }
  }
  SetChosen(choice, *FindEndpoint(context.table, best->endpoint), false);
}

// Called when no endpoint is ready. Reports saturation when there are busy
// endpoints to wait for, and otherwise selects a failing endpoint if there is
// one.
void ChooseWithoutReadyEndpoint(EndpointChoice& choice,
                                const ChoiceContext& context,
                                const EndpointSample& own_sample,
                                const EndpointSample& other_sample) {
  if (own_sample.has_busy_endpoint || other_sample.has_busy_endpoint) {
    choice.outcome = EndpointChoiceOutcome::kSaturated;
    return;
  }
  const EndpointView* failing =
      own_sample.failing != nullptr ? own_sample.failing : other_sample.failing;
  if (failing != nullptr) {
    AddCandidate(choice, context, *failing);
    SetChosen(choice, *failing, false);
  }
}

// Considers the endpoints in other domains. Called when the own domain has no
// ready endpoint.
void SpillOver(EndpointChoice& choice,
               const ChoiceContext& context,
               const PoolIndex& index,
               const EndpointSample& own_sample,
               Random& random) {
  const EndpointSample other_sample =
      DrawSample(context, index.other_domains, random);
  const Duration delay = SpillOverDelay(context.request);
  if (own_sample.has_busy_endpoint && context.request.waited < delay) {
    choice.outcome = EndpointChoiceOutcome::kSaturated;
    if (other_sample.ready_count > 0) {
      choice.spill_over_after = delay;
    }
    return;
  }
  if (other_sample.probe != nullptr) {
    ChooseProbe(choice, context, *other_sample.probe);
    return;
  }
  AddSampleCandidates(choice, context, other_sample);
  if (choice.candidates.empty()) {
    ChooseWithoutReadyEndpoint(choice, context, own_sample, other_sample);
  } else {
    ChooseBest(choice, context, random);
  }
}

// Returns whether the own domain's candidates are all so slow or failing, or
// lack the loaded model, that endpoints in other domains should be compared as
// well. Ignores the candidates' waits: the queue and SpillOver() handle load.
bool IsOwnDomainDegraded(const EndpointChoice& choice,
                         const EndpointChoiceRequest& request) {
  const double threshold =
      std::max(ToMilliseconds(SpillOverDelay(request)),
               kMinDegradedPenaltyFraction * ToMilliseconds(request.expected));
  return std::all_of(choice.candidates.begin(), choice.candidates.end(),
                     [&](const CandidateScore& score) {
                       return score.slowdown_ms + score.failure_penalty_ms +
                                  score.cold_model_ms >
                              threshold;
                     });
}

void ChooseFromSubset(EndpointChoice& choice,
                      const ChoiceContext& context,
                      const PoolIndex& index,
                      Random& random) {
  const EndpointSample own_sample =
      DrawSample(context, index.own_domain, random);
  if (own_sample.probe != nullptr) {
    ChooseProbe(choice, context, *own_sample.probe);
    return;
  }
  AddSampleCandidates(choice, context, own_sample);
  AddPrefixCandidate(choice, context);
  if (choice.candidates.empty()) {
    SpillOver(choice, context, index, own_sample, random);
    return;
  }
  if (IsOwnDomainDegraded(choice, context.request)) {
    AddSampleCandidates(choice, context,
                        DrawSample(context, index.other_domains, random));
  }
  ChooseBest(choice, context, random);
}

}  // namespace

bool IsBoundedPolicy(RoutingPolicy policy) {
  return policy == RoutingPolicy::kDefault ||
         policy == RoutingPolicy::kRetryAnywhere;
}

EndpointChoice ChooseEndpoint(EndpointTable& table,
                              const PrefixIndex& prefixes,
                              const EndpointChoiceRequest& request,
                              TimePoint now,
                              Random& random) {
  if (request.policy == RoutingPolicy::kRoundRobin) {
    return ChooseRoundRobin(table, request);
  }
  if (request.policy == RoutingPolicy::kLeastLoad) {
    return ChooseLeastLoad(table, request, random);
  }
  EndpointChoice choice;
  const auto found = table.pools.find(request.pool);
  if (found == table.pools.end()) {
    return choice;
  }
  ChoiceContext context{
      table, request, {}, now, IsBoundedPolicy(request.policy)};
  if (request.prefix_hash != 0) {
    context.prefix_endpoints =
        EndpointsWithPrefix(prefixes, request.prefix_hash, now);
  }
  choice.candidates.reserve(2 * kRandomCandidates + 1);
  ChooseFromSubset(choice, context, found->second, random);
  return choice;
}

PoolSlots CountSlots(const EndpointTable& table,
                     const PoolId& pool,
                     TimePoint now) {
  PoolSlots slots;
  const auto found = table.pools.find(pool);
  if (found == table.pools.end()) {
    return slots;
  }
  for (const auto* part :
       {&found->second.own_domain, &found->second.other_domains}) {
    for (const uint32_t position : *part) {
      const EndpointView& view = table.endpoints[position];
      if (IsUsable(view, now) && !view.is_on_probation) {
        slots.total += view.limit;
        slots.in_use += std::min(view.in_flight, view.limit);
      }
    }
    if (slots.total > 0) {
      break;
    }
  }
  return slots;
}

}  // namespace peridotmill
