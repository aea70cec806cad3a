#include "peridotmill_gateway/estimates/first_event_times.h"

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Assumed before anything is observed: prefill of a prompt of 10,000 to 17,000
// tokens at 50 tokens per millisecond. A few observations outweigh it.
constexpr double kPriorMedianMs = 200;
constexpr double kPriorP95Ms = 400;
constexpr double kPriorWeightSamples = 8;
// Below the highest percentiles, which belong to engines that are failing: no
// reserve makes those streams on time.
constexpr double kReservedQuantile = 0.9;

QuantileHistogram MakePrior() {
  return MakeLogNormalPrior(kPriorMedianMs, kPriorP95Ms, kPriorWeightSamples);
}

}  // namespace

void RecordFirstEventTime(FirstEventTimes& times,
                          const std::string& route,
                          Duration elapsed) {
  auto found = times.routes.find(route);
  if (found == times.routes.end()) {
    if (times.routes.size() >= kMaxFirstEventRoutes) {
      times.routes.erase(times.routes.begin());
    }
    found = times.routes.emplace(route, MakePrior()).first;
  }
  AddSample(found->second, ToMilliseconds(elapsed));
}

Duration PredictFirstEventTime(const FirstEventTimes& times,
                               const std::string& route) {
  const auto found = times.routes.find(route);
  return FromMilliseconds(
      QuantileOf(found == times.routes.end() ? MakePrior() : found->second,
                 kReservedQuantile));
}

}  // namespace peridotmill
