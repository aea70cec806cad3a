#include "peridotmill_routing/selection/endpoint_score.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_routing/endpoints/outlier_ejection.h"

namespace peridotmill {
namespace {

// Benefit of a cached prefix as a fraction of the expected service time. It is
// doubled at attainment weight 0, since reuse saves cost as well as time.
constexpr double kPrefixBenefitFraction = 0.3;
// Time for which consecutive failures add a penalty. Without a limit, an
// endpoint that failed once would get no work until the others are busy.
constexpr Duration kFailurePenaltyTime = std::chrono::seconds(2);
// Reports are read once a second; with a shorter half-life they would have no
// effect.
constexpr Duration kMinReportHalfLife = std::chrono::milliseconds(100);
// Lower bound of the expected service time; applies when there is no estimate.
constexpr double kMinExpectedMs = 1.0;

double ExpectedMs(const EndpointChoiceRequest& request) {
  return std::max(kMinExpectedMs, ToMilliseconds(request.expected));
}

// Returns the estimated fraction of the reported calls that have not ended.
double RemainingReportFraction(const EndpointView& view,
                               Duration expected,
                               TimePoint now) {
  const Duration half_life = std::clamp<Duration>(
      expected / 2, kMinReportHalfLife, kMaxReportHalfLife);
  return ExponentialDecay(now - view.reported_at, half_life);
}

// Returns the wait behind `load` calls, given the endpoint's concurrency limit.
double QueueWaitMs(double load, const EndpointView& view, double service_ms) {
  return load / std::max(1, view.limit) * service_ms;
}

double RoundTripMs(const EndpointTable& table, const EndpointView& view) {
  if (view.is_own_domain) {
    return 0;
  }
  const auto found = table.round_trips.find(view.failure_domain);
  return ToMilliseconds(found == table.round_trips.end() ? kDefaultRoundTrip
                                                         : found->second);
}

// Returns whether the endpoint has reported its loaded models without `model`.
// An endpoint that has not reported yet is not penalized.
bool IsModelNotLoaded(const EndpointView& view, const std::string& model) {
  return !model.empty() && view.has_report &&
         std::find(view.loaded_models.begin(), view.loaded_models.end(),
                   model) == view.loaded_models.end();
}

}  // namespace

double EstimatedLoad(const EndpointView& view,
                     Duration expected,
                     TimePoint now) {
  double load = view.in_flight;
  if (view.other_nodes_load > 0) {
    load +=
        view.other_nodes_load * RemainingReportFraction(view, expected, now);
  }
  return load;
}

CandidateScore ScoreEndpoint(const EndpointTable& table,
                             const EndpointView& view,
                             const EndpointChoiceRequest& request,
                             bool has_prefix,
                             TimePoint now) {
  const double expected = ExpectedMs(request);
  const double ratio = DecayedLatencyRatio(view, now);
  CandidateScore score;
  score.endpoint = view.id;
  score.wait_ms = QueueWaitMs(EstimatedLoad(view, request.expected, now), view,
                              expected * ratio);
  score.slowdown_ms = expected * std::max(0.0, ratio - 1.0);
  if (now - view.failed_at < kFailurePenaltyTime) {
    score.failure_penalty_ms =
        expected * std::min(view.consecutive_failures, 10);
  }
  score.round_trip_ms = RoundTripMs(table, view);
  score.cold_model_ms = IsModelNotLoaded(view, request.model)
                            ? ToMilliseconds(kColdModelPenalty)
                            : 0;
  score.prefix_benefit_ms = has_prefix ? kPrefixBenefitFraction *
                                             (2.0 - request.attainment_weight) *
                                             expected
                                       : 0;
  return score;
}

void AddUnreportedWait(const EndpointTable& table,
                       const EndpointChoiceRequest& request,
                       std::vector<CandidateScore>& candidates,
                       TimePoint now,
                       Random& random) {
  double mean_load = 0;
  for (const CandidateScore& score : candidates) {
    mean_load += FindEndpoint(table, score.endpoint)->other_nodes_load /
                 static_cast<double>(candidates.size());
  }
  if (mean_load <= 0) {
    return;
  }
  for (CandidateScore& score : candidates) {
    const EndpointView& view = *FindEndpoint(table, score.endpoint);
    const double unreported_fraction =
        1 - RemainingReportFraction(view, request.expected, now);
    const double service_ms =
        ExpectedMs(request) * DecayedLatencyRatio(view, now);
    score.unreported_wait_ms = QueueWaitMs(
        2 * mean_load * random.Unit() * unreported_fraction, view, service_ms);
  }
}

}  // namespace peridotmill
