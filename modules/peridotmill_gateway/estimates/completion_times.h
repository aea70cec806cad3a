#ifndef PERIDOTMILL_GATEWAY_ESTIMATES_COMPLETION_TIMES_H_
#define PERIDOTMILL_GATEWAY_ESTIMATES_COMPLETION_TIMES_H_

#include <map>
#include <string>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/configuration/gateway_config.h"
#include "peridotmill_routing/estimates/quantile_histogram.h"

namespace peridotmill {

// Observed times of one route's requests.
struct RouteCompletionTimes {
  // From the acceptance to the end of the last stage, in milliseconds.
  QuantileHistogram preparation_ms;
  // Duration of the output in milliseconds: of a stream, from its first event
  // to its end; of another response, from sending the request to the end.
  QuantileHistogram output_ms;
};

// Observed times by route, from which a node that leaves tells which requests
// it can still finish. Of many routes, only kMaxCompletionRoutes are kept.
struct CompletionTimes {
  std::map<std::string, RouteCompletionTimes> routes;
};
inline constexpr size_t kMaxCompletionRoutes = 256;

void RecordPreparationTime(CompletionTimes& times,
                           const RouteDefinition& route,
                           Duration elapsed);
void RecordOutputTime(CompletionTimes& times,
                      const RouteDefinition& route,
                      Duration elapsed);

// Return the time within which the fraction `quantile` of the requests is
// prepared, or has its whole output.
Duration PredictPreparationTime(const CompletionTimes& times,
                                const RouteDefinition& route,
                                double quantile);
Duration PredictOutputTime(const CompletionTimes& times,
                           const RouteDefinition& route,
                           double quantile);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_ESTIMATES_COMPLETION_TIMES_H_
