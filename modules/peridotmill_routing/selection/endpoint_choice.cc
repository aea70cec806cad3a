#include "peridotmill_routing/selection/endpoint_choice.h"

#include <algorithm>
#include <array>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_routing/endpoints/outlier_ejection.h"
#include "peridotmill_routing/selection/baseline_choice.h"
#include "peridotmill_routing/selection/endpoint_score.h"

namespace peridotmill {
namespace {

// Draws before all endpoints are looked at; enough when a third is unfit.
constexpr size_t kDraws = 12;

// Slowness, in expected service times, that the own domain is allowed at
// attainment weight 1, so that noise does not send work to other domains.
constexpr double kPoorShare = 0.25;

enum class Fitness : uint8_t {
  // Cannot take the request at all.
  kUnusable,
  // Usable, but without a free slot.
  kBusy,
  kReady,
  // Failed in a row, but the floor forbids its ejection; the last resort.
  kSuspect,
  // Failed some time ago; one call may find out whether it recovered.
  kProbe,
};

struct ChoiceContext {
  const EndpointTable& table;
  const EndpointChoiceRequest& request;
  std::vector<EndpointId> prefix_endpoints;
  TimePoint now;
  bool is_bounded;
};

// Endpoints found in one part of the subset.
struct Sample {
  std::array<const EndpointView*, kRandomCandidates> ready = {};
  size_t ready_count = 0;
  const EndpointView* probe = nullptr;
  const EndpointView* suspect = nullptr;
  uint64_t suspect_count = 0;
  bool has_busy = false;
};

bool IsExcluded(const EndpointChoiceRequest& request,
                const EndpointView& view) {
  return std::find(request.excluded.begin(), request.excluded.end(), view.id) !=
         request.excluded.end();
}

// A call that may not be repeated probes only an endpoint that has reported
// its load since it failed.
bool MayProbe(const EndpointView& view, const EndpointChoiceRequest& request) {
  return view.in_flight == 0 &&
         (request.is_idempotent ||
          (view.has_report && view.reported_at > view.failed_at));
}

Fitness FitnessOf(const ChoiceContext& context, const EndpointView& view) {
  if (!IsUsable(view, context.now)) {
    return Fitness::kUnusable;
  }
  if (!context.request.excluded.empty() && IsExcluded(context.request, view)) {
    return Fitness::kUnusable;
  }
  if (view.is_on_probation) {
    return MayProbe(view, context.request) ? Fitness::kProbe
                                           : Fitness::kUnusable;
  }
  const bool is_busy = context.is_bounded && view.in_flight >= view.limit;
  if (view.consecutive_failures >= kFailuresToEject) {
    if (context.now - view.failed_at >= kBaseEjection &&
        MayProbe(view, context.request)) {
      return Fitness::kProbe;
    }
    return is_busy ? Fitness::kUnusable : Fitness::kSuspect;
  }
  return is_busy ? Fitness::kBusy : Fitness::kReady;
}

void AddReady(Sample& sample, const EndpointView& view) {
  const auto end =
      sample.ready.begin() + static_cast<std::ptrdiff_t>(sample.ready_count);
  if (std::find(sample.ready.begin(), end, &view) == end) {
    sample.ready[sample.ready_count++] = &view;
  }
}

void AddToSample(Sample& sample,
                 const EndpointView& view,
                 Fitness fitness,
                 Random& random) {
  switch (fitness) {
    case Fitness::kReady:
      AddReady(sample, view);
      break;
    case Fitness::kProbe:
      sample.probe = &view;
      break;
    case Fitness::kSuspect:
      if (random.Below(++sample.suspect_count) == 0) {
        sample.suspect = &view;
      }
      break;
    case Fitness::kBusy:
      sample.has_busy = true;
      break;
    case Fitness::kUnusable:
      break;
  }
}

// Looks at all positions and keeps a uniform draw of the ready ones
// (reservoir sampling, Vitter 1985).
Sample ScanAll(const ChoiceContext& context,
               const std::vector<uint32_t>& positions,
               Random& random) {
  Sample sample;
  uint64_t seen = 0;
  for (const uint32_t position : positions) {
    const EndpointView& view = context.table.endpoints[position];
    const Fitness fitness = FitnessOf(context, view);
    if (fitness != Fitness::kReady) {
      AddToSample(sample, view, fitness, random);
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

Sample Draw(const ChoiceContext& context,
            const std::vector<uint32_t>& positions,
            Random& random) {
  if (positions.size() <= kDraws) {
    return ScanAll(context, positions, random);
  }
  Sample sample;
  for (size_t i = 0; i < kDraws && sample.ready_count < kRandomCandidates;
       ++i) {
    const EndpointView& view =
        context.table.endpoints[positions[random.Below(positions.size())]];
    AddToSample(sample, view, FitnessOf(context, view), random);
  }
  return sample.ready_count == kRandomCandidates
             ? sample
             : ScanAll(context, positions, random);
}

bool HasPrefix(const ChoiceContext& context, const EndpointView& view) {
  return std::find(context.prefix_endpoints.begin(),
                   context.prefix_endpoints.end(),
                   view.id) != context.prefix_endpoints.end();
}

void AddCandidate(EndpointChoice& choice,
                  const ChoiceContext& context,
                  const EndpointView& view) {
  const bool is_known = std::any_of(
      choice.candidates.begin(), choice.candidates.end(),
      [&](const CandidateScore& score) { return score.endpoint == view.id; });
  if (!is_known) {
    choice.candidates.push_back(
        ScoreEndpoint(context.table, view, context.request,
                      HasPrefix(context, view), context.now));
  }
}

// Adds the best of the endpoints that may hold the prefix.
void AddPrefixCandidate(EndpointChoice& choice, const ChoiceContext& context) {
  const EndpointView* best = nullptr;
  double best_total = 0;
  for (const EndpointId& endpoint : context.prefix_endpoints) {
    const EndpointView* view = FindEndpoint(context.table, endpoint);
    if (view == nullptr || view->pool != context.request.pool ||
        FitnessOf(context, *view) != Fitness::kReady) {
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

void AddSample(EndpointChoice& choice,
               const ChoiceContext& context,
               const Sample& sample) {
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
  choice.is_foreign = !view.is_own_domain;
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

// Equal scores are drawn at random: idle endpoints all score 0, and a fixed
// order would send the work of all nodes to the first.
void ChooseBest(EndpointChoice& choice,
                const ChoiceContext& context,
                Random& random) {
  AddUnreportedWait(context.table, context.request, choice.candidates,
                    context.now, random);
  const CandidateScore* best = nullptr;
  uint64_t equal = 0;
  for (const CandidateScore& score : choice.candidates) {
    if (best == nullptr || score.total() < best->total()) {
      best = &score;
      equal = 1;
    } else if (score.total() == best->total() && random.Below(++equal) == 0) {
      best = &score;
    }
  }
  SetChosen(choice, *FindEndpoint(context.table, best->endpoint), false);
}

// No endpoint is ready: waits for a busy one, or takes a suspect one when
// there is nothing to wait for.
void ChooseLastResort(EndpointChoice& choice,
                      const ChoiceContext& context,
                      const Sample& own,
                      const Sample& foreign) {
  if (own.has_busy || foreign.has_busy) {
    choice.outcome = EndpointChoiceOutcome::kSaturated;
    return;
  }
  const EndpointView* suspect =
      own.suspect != nullptr ? own.suspect : foreign.suspect;
  if (suspect != nullptr) {
    AddCandidate(choice, context, *suspect);
    SetChosen(choice, *suspect, false);
  }
}

// Looks at the other domains' part of the subset when the own domain has no
// ready endpoint.
void SpillOver(EndpointChoice& choice,
               const ChoiceContext& context,
               const PoolIndex& index,
               const Sample& own,
               Random& random) {
  const Sample foreign = Draw(context, index.foreign, random);
  const Duration delay = SpillOverDelay(context.request);
  if (own.has_busy && context.request.waited < delay) {
    choice.outcome = EndpointChoiceOutcome::kSaturated;
    if (foreign.ready_count > 0) {
      choice.spill_over_after = delay;
    }
    return;
  }
  if (foreign.probe != nullptr) {
    ChooseProbe(choice, context, *foreign.probe);
    return;
  }
  AddSample(choice, context, foreign);
  if (choice.candidates.empty()) {
    ChooseLastResort(choice, context, own, foreign);
  } else {
    ChooseBest(choice, context, random);
  }
}

// Whether the own domain's candidates are all so slow, failing or cold that
// the other domains' endpoints should be compared too. Their waits do not
// count: the queue and SpillOver() deal with load.
bool IsOwnDomainPoor(const EndpointChoice& choice,
                     const EndpointChoiceRequest& request) {
  const double threshold =
      std::max(ToMilliseconds(SpillOverDelay(request)),
               kPoorShare * ToMilliseconds(request.expected));
  return std::all_of(
      choice.candidates.begin(), choice.candidates.end(),
      [&](const CandidateScore& score) {
        return score.slowness + score.failures + score.cold_model > threshold;
      });
}

void ChooseFromSubset(EndpointChoice& choice,
                      const ChoiceContext& context,
                      const PoolIndex& index,
                      Random& random) {
  const Sample own = Draw(context, index.own_domain, random);
  if (own.probe != nullptr) {
    ChooseProbe(choice, context, *own.probe);
    return;
  }
  AddSample(choice, context, own);
  AddPrefixCandidate(choice, context);
  if (choice.candidates.empty()) {
    SpillOver(choice, context, index, own, random);
    return;
  }
  if (IsOwnDomainPoor(choice, context.request)) {
    AddSample(choice, context, Draw(context, index.foreign, random));
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
  for (const auto* part : {&found->second.own_domain, &found->second.foreign}) {
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
