#ifndef PERIDOTMILL_ROUTING_SELECTION_ENDPOINT_SCORE_H_
#define PERIDOTMILL_ROUTING_SELECTION_ENDPOINT_SCORE_H_

#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_routing/endpoints/endpoint_table.h"
#include "peridotmill_routing/selection/choice.h"

namespace peridotmill {

// Maximum half-life of a load report: reports lag, and all nodes see the same
// ones. For shorter calls the half-life is half the expected service time,
// after which half of the reported calls have ended; with a half-life of 500 ms
// for calls of 500 ms, work is spread worse than without reports.
inline constexpr Duration kMaxReportHalfLife = std::chrono::milliseconds(500);
// Round-trip time assumed to domains that EndpointTable::round_trips lacks.
inline constexpr Duration kDefaultRoundTrip = std::chrono::milliseconds(2);
// Added when the endpoint must load the model first, which takes seconds.
inline constexpr Duration kColdModelPenalty = std::chrono::seconds(2);

// Returns the predicted cost of sending the request to the endpoint, relative
// to an idle endpoint of the own domain that has the model loaded.
CandidateScore ScoreEndpoint(const EndpointTable& table,
                             const EndpointView& view,
                             const EndpointChoiceRequest& request,
                             bool has_prefix,
                             TimePoint now);

// Adds to each candidate a random wait for the load that other nodes may have
// added since its report, up to twice the mean load of the candidates. As
// reports age, the selection becomes random: otherwise the order of the stale
// reports would still decide, however far they have decayed, and all nodes
// would select the same endpoint.
void AddUnreportedWait(const EndpointTable& table,
                       const EndpointChoiceRequest& request,
                       std::vector<CandidateScore>& candidates,
                       TimePoint now,
                       Random& random);

// Returns this node's attempts in flight plus the decayed reported load of
// other nodes.
double EstimatedLoad(const EndpointView& view,
                     Duration expected,
                     TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_SELECTION_ENDPOINT_SCORE_H_
