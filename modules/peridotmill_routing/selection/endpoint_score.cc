#include "peridotmill_routing/selection/endpoint_score.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_routing/endpoints/outlier_ejection.h"

namespace peridotmill {
namespace {

// Share of the expected time that a warm prefix is credited with. At weight 0
// it is doubled, since reuse saves cost as well as time.
constexpr double kPrefixShare = 0.3;
// Failures in a row count for this long; otherwise an endpoint that failed once
// would get nothing until the others are busy.
constexpr Duration kFailureMemory = std::chrono::seconds(2);
// Reports are read once a second; faster decay would ignore them.
constexpr Duration kMinReportHalfLife = std::chrono::milliseconds(100);
// Service time assumed when the caller expects none.
constexpr double kFallbackExpectedMs = 1.0;

double ExpectedMs(const EndpointChoiceRequest& request) {
  return std::max(kFallbackExpectedMs, ToMilliseconds(request.expected));
}

// Share of the reported calls that are still there.
double ReportWeight(const EndpointView& view,
                    Duration expected,
                    TimePoint now) {
  const Duration half_life =
      std::clamp<Duration>(expected / 2, kMinReportHalfLife, kReportHalfLife);
  return DecayOver(now - view.reported_at, half_life);
}

// Wait behind `load` calls.
double WaitBehind(double load, const EndpointView& view, double service_ms) {
  return load / std::max(1, view.limit) * service_ms;
}

double DistanceOf(const EndpointTable& table, const EndpointView& view) {
  if (view.is_own_domain) {
    return 0;
  }
  const auto found = table.distances.find(view.failure_domain);
  return ToMilliseconds(found == table.distances.end() ? kDefaultDistance
                                                       : found->second);
}

// A model that was never reported is not held against the endpoint.
bool IsCold(const EndpointView& view, const std::string& model) {
  return !model.empty() && view.has_report &&
         std::find(view.loaded_models.begin(), view.loaded_models.end(),
                   model) == view.loaded_models.end();
}

}  // namespace

double AgedLoad(const EndpointView& view, Duration expected, TimePoint now) {
  double load = view.in_flight;
  if (view.other_nodes_load > 0) {
    load += view.other_nodes_load * ReportWeight(view, expected, now);
  }
  return load;
}

CandidateScore ScoreEndpoint(const EndpointTable& table,
                             const EndpointView& view,
                             const EndpointChoiceRequest& request,
                             bool has_prefix,
                             TimePoint now) {
  const double expected = ExpectedMs(request);
  const double ratio = AgedLatencyRatio(view, now);
  CandidateScore score;
  score.endpoint = view.id;
  score.wait =
      WaitBehind(AgedLoad(view, request.expected, now), view, expected * ratio);
  score.slowness = expected * std::max(0.0, ratio - 1.0);
  if (now - view.failed_at < kFailureMemory) {
    score.failures = expected * std::min(view.consecutive_failures, 10);
  }
  score.distance = DistanceOf(table, view);
  score.cold_model =
      IsCold(view, request.model) ? ToMilliseconds(kColdModelPenalty) : 0;
  score.prefix_benefit =
      has_prefix ? kPrefixShare * (2.0 - request.attainment_weight) * expected
                 : 0;
  return score;
}

void AddUnreportedWait(const EndpointTable& table,
                       const EndpointChoiceRequest& request,
                       std::vector<CandidateScore>& candidates,
                       TimePoint now,
                       Random& random) {
  double mean = 0;
  for (const CandidateScore& score : candidates) {
    mean += FindEndpoint(table, score.endpoint)->other_nodes_load /
            static_cast<double>(candidates.size());
  }
  if (mean <= 0) {
    return;
  }
  for (CandidateScore& score : candidates) {
    const EndpointView& view = *FindEndpoint(table, score.endpoint);
    const double unknown = 1 - ReportWeight(view, request.expected, now);
    const double service = ExpectedMs(request) * AgedLatencyRatio(view, now);
    score.unreported_wait =
        WaitBehind(2 * mean * random.Unit() * unknown, view, service);
  }
}

}  // namespace peridotmill
