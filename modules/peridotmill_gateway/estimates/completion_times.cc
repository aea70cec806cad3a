#include "peridotmill_gateway/estimates/completion_times.h"

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Assumed before anything is observed; a few observations outweigh it.
constexpr double kPriorWeightSamples = 1;
constexpr double kPriorPreparationMedianMs = 800;
constexpr double kPriorPreparationP95Ms = 2500;
constexpr double kPriorOutputMedianMs = 500;
constexpr double kPriorOutputP95Ms = 4000;

QuantileHistogram MakePreparationPrior() {
  return MakeLogNormalPrior(kPriorPreparationMedianMs, kPriorPreparationP95Ms,
                            kPriorWeightSamples);
}

QuantileHistogram MakeOutputPrior() {
  return MakeLogNormalPrior(kPriorOutputMedianMs, kPriorOutputP95Ms,
                            kPriorWeightSamples);
}

RouteCompletionTimes& FindOrAdd(CompletionTimes& times,
                                const std::string& route) {
  const auto found = times.routes.find(route);
  if (found != times.routes.end()) {
    return found->second;
  }
  if (times.routes.size() >= kMaxCompletionRoutes) {
    times.routes.erase(times.routes.begin());
  }
  RouteCompletionTimes& added = times.routes[route];
  added.preparation_ms = MakePreparationPrior();
  added.output_ms = MakeOutputPrior();
  return added;
}

}  // namespace

void RecordPreparationTime(CompletionTimes& times,
                           const std::string& route,
                           Duration elapsed) {
  AddSample(FindOrAdd(times, route).preparation_ms, ToMilliseconds(elapsed));
}

void RecordOutputTime(CompletionTimes& times,
                      const std::string& route,
                      Duration elapsed) {
  AddSample(FindOrAdd(times, route).output_ms, ToMilliseconds(elapsed));
}

Duration PredictPreparationTime(const CompletionTimes& times,
                                const std::string& route,
                                double quantile) {
  const auto found = times.routes.find(route);
  return FromMilliseconds(QuantileOf(found == times.routes.end()
                                         ? MakePreparationPrior()
                                         : found->second.preparation_ms,
                                     quantile));
}

Duration PredictOutputTime(const CompletionTimes& times,
                           const std::string& route,
                           double quantile) {
  const auto found = times.routes.find(route);
  return FromMilliseconds(QuantileOf(
      found == times.routes.end() ? MakeOutputPrior() : found->second.output_ms,
      quantile));
}

}  // namespace peridotmill
