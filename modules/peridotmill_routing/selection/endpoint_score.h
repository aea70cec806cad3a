#ifndef PERIDOTMILL_ROUTING_SELECTION_ENDPOINT_SCORE_H_
#define PERIDOTMILL_ROUTING_SELECTION_ENDPOINT_SCORE_H_

#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_routing/endpoints/endpoint_table.h"
#include "peridotmill_routing/selection/choice.h"

namespace peridotmill {

// Half-life of a load report at most: reports lag, and all nodes see the same
// ones. For shorter calls it is half the expected service time, when half of
// the reported calls have ended; with 500 ms for calls of 500 ms, reports
// spread the work worse than no reports.
inline constexpr Duration kReportHalfLife = std::chrono::milliseconds(500);
inline constexpr Duration kDefaultDistance = std::chrono::milliseconds(2);
// Loading a model takes seconds.
inline constexpr Duration kColdModelPenalty = std::chrono::seconds(2);

// Predicted cost of sending the request to the endpoint, relative to an idle
// warm one of the own domain.
CandidateScore ScoreEndpoint(const EndpointTable& table,
                             const EndpointView& view,
                             const EndpointChoiceRequest& request,
                             bool has_prefix,
                             TimePoint now);

// Adds a random draw for the load that others may have put on each candidate
// since its report, up to twice the candidates' mean. As reports age, the
// choice between candidates turns from the reports to chance: without this,
// the order of the stale reports still decides, however far they are decayed,
// and all nodes choose alike.
void AddUnreportedWait(const EndpointTable& table,
                       const EndpointChoiceRequest& request,
                       std::vector<CandidateScore>& candidates,
                       TimePoint now,
                       Random& random);

// Own in-flight attempts plus the aged load that others cause.
double AgedLoad(const EndpointView& view, Duration expected, TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_SELECTION_ENDPOINT_SCORE_H_
