#include "peridotmill_gateway/estimates/completion_times.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Assumed before anything is observed; a few observations outweigh it.
constexpr double kPriorWeightSamples = 1;
constexpr double kPriorPreparationMedianMs = 800;
constexpr double kPriorPreparationP95Ms = 2500;
constexpr double kPriorStreamMedianMs = 500;
constexpr double kPriorStreamP95Ms = 4000;
// Responses that are no streams, as multiples of the route's target latency.
constexpr double kPriorResponseMedianTargets = 0.3;
constexpr double kPriorResponseP95Targets = 1;

QuantileHistogram MakePreparationPrior() {
  return MakeLogNormalPrior(kPriorPreparationMedianMs, kPriorPreparationP95Ms,
                            kPriorWeightSamples);
}

QuantileHistogram MakeOutputPrior(const RouteDefinition& route) {
  if (route.kind == RequestKind::kStream) {
    return MakeLogNormalPrior(kPriorStreamMedianMs, kPriorStreamP95Ms,
                              kPriorWeightSamples);
  }
  const double target_ms = std::max(1.0, ToMilliseconds(route.target_latency));
  return MakeLogNormalPrior(kPriorResponseMedianTargets * target_ms,
                            kPriorResponseP95Targets * target_ms,
                            kPriorWeightSamples);
}

RouteCompletionTimes& FindOrAdd(CompletionTimes& times,
                                const RouteDefinition& route) {
  const auto found = times.routes.find(route.name);
  if (found != times.routes.end()) {
    return found->second;
  }
  if (times.routes.size() >= kMaxCompletionRoutes) {
    times.routes.erase(times.routes.begin());
  }
  RouteCompletionTimes& added = times.routes[route.name];
  added.preparation_ms = MakePreparationPrior();
  added.output_ms = MakeOutputPrior(route);
  return added;
}

}  // namespace

void RecordPreparationTime(CompletionTimes& times,
                           const RouteDefinition& route,
                           Duration elapsed) {
  AddSample(FindOrAdd(times, route).preparation_ms, ToMilliseconds(elapsed));
}

void RecordOutputTime(CompletionTimes& times,
                      const RouteDefinition& route,
                      Duration elapsed) {
  AddSample(FindOrAdd(times, route).output_ms, ToMilliseconds(elapsed));
}

Duration PredictPreparationTime(const CompletionTimes& times,
                                const RouteDefinition& route,
                                double quantile) {
  const auto found = times.routes.find(route.name);
  return FromMilliseconds(QuantileBound(found == times.routes.end()
                                            ? MakePreparationPrior()
                                            : found->second.preparation_ms,
                                        quantile));
}

Duration PredictOutputTime(const CompletionTimes& times,
                           const RouteDefinition& route,
                           double quantile) {
  const auto found = times.routes.find(route.name);
  return FromMilliseconds(QuantileBound(found == times.routes.end()
                                            ? MakeOutputPrior(route)
                                            : found->second.output_ms,
                                        quantile));
}

}  // namespace peridotmill
