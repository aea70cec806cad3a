#ifndef PERIDOTMILL_GATEWAY_ESTIMATES_FIRST_EVENT_TIMES_H_
#define PERIDOTMILL_GATEWAY_ESTIMATES_FIRST_EVENT_TIMES_H_

#include <map>
#include <string>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_routing/estimates/quantile_histogram.h"

namespace peridotmill {

// Observed times from sending a stream's request to an engine until its first
// event, by route. Routes differ in the length of their prompts, and engines in
// their speed.
struct FirstEventTimes {
  std::map<std::string, QuantileHistogram> routes;
};

// Records one observed time. Of many routes, only kMaxFirstEventRoutes are
// kept.
inline constexpr size_t kMaxFirstEventRoutes = 256;
void RecordFirstEventTime(FirstEventTimes& times,
                          const std::string& route,
                          Duration elapsed);

// Returns the time to reserve for the engine at the end of a route's stages:
// the time within which nine of ten streams have had their first event.
Duration PredictFirstEventTime(const FirstEventTimes& times,
                               const std::string& route);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_ESTIMATES_FIRST_EVENT_TIMES_H_
