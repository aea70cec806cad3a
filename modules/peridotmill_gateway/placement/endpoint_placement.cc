#include "peridotmill_gateway/placement/endpoint_placement.h"

#include <algorithm>
#include <string>

#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Half-life of the weight of a load report: about the time in which the short
// requests of a fleet end and are replaced by others.
constexpr Duration kLoadReportHalfLife = std::chrono::milliseconds(500);
// Costs are expressed as a number of prefill tokens.
// Cost of transferring a megabyte between failure domains, from the ratio of
// the operators' prices: 32 for a gigabyte and 0.078 for a thousand tokens.
constexpr double kTransferCostTokensPerMegabyte = 410;
constexpr double kBytesPerMegabyte = 1e6;
// Cost of an endpoint outside the data domain, whatever the amount of data.
constexpr double kCrossDomainCostTokens = 20;
// Cost of an endpoint with all slots in use. A prompt that shares 10,000 tokens
// goes to the next endpoint if the load of its preferred endpoint is higher by
// half of the slots.
constexpr double kFullLoadCostTokens = 20'000;
// Additional cost of work that waits at an endpoint, per unit of load above 1.
constexpr double kWaitingWorkCostTokens = 100'000;
// Random part of the cost, so that nodes which see the same load reports
// choose different endpoints.
constexpr double kMaxJitterCostTokens = 200;

bool WasTried(const PlacementRequest& request, const EndpointId& id) {
  return std::find(request.tried.begin(), request.tried.end(), id) !=
         request.tried.end();
}

double LoadCostTokens(const Endpoint& endpoint, TimePoint now) {
  const double load = EstimateLoad(endpoint, now);
  return kFullLoadCostTokens * load +
         kWaitingWorkCostTokens * std::max(0.0, load - 1);
}

}  // namespace

EndpointPtr FindRendezvousEndpoint(const std::vector<EndpointPtr>& endpoints,
                                   uint64_t affinity) {
  EndpointPtr preferred;
  uint64_t best = 0;
  for (const EndpointPtr& endpoint : endpoints) {
    const uint64_t score = Hash64(endpoint->registration.id.value(), affinity);
    if (preferred == nullptr || score > best) {
      preferred = endpoint;
      best = score;
    }
  }
  return preferred;
}

double TransferCostTokens(int64_t bytes) {
  return kCrossDomainCostTokens + kTransferCostTokensPerMegabyte *
                                      static_cast<double>(bytes) /
                                      kBytesPerMegabyte;
}

double EstimateLoad(const Endpoint& endpoint, TimePoint now) {
  const double slots = std::max(1, endpoint.registration.slots);
  const double weight =
      ExponentialDecay(now - endpoint.reported_at, kLoadReportHalfLife);
  const double reported =
      weight * (endpoint.reported_running + endpoint.reported_waiting);
  const double own =
      endpoint.open_calls * EstimateStatedPace(endpoint.pace, now);
  return std::max(reported, own) / slots;
}

bool IsEndpointUsable(const Endpoint& endpoint,
                      TimePoint now,
                      Duration max_response_wait) {
  if (IsHeldOff(endpoint, now) || endpoint.ejected_until > now ||
      IsDomainAvoided(*endpoint.domain, now)) {
    return false;
  }
  return endpoint.unanswered_since.empty() ||
         now - endpoint.unanswered_since.front() <= max_response_wait;
}

EndpointPtr ChooseEndpoint(const std::vector<EndpointPtr>& serving,
                           const PlacementRequest& request,
                           Duration max_response_wait,
                           TimePoint now,
                           Random& random) {
  std::vector<EndpointPtr> candidates;
  std::vector<EndpointPtr> unusable;
  for (const EndpointPtr& endpoint : serving) {
    if (!IsHeldOff(*endpoint, now) &&
        !WasTried(request, endpoint->registration.id)) {
      (IsEndpointUsable(*endpoint, now, max_response_wait) ? candidates
                                                           : unusable)
          .push_back(endpoint);
    }
  }
  if (candidates.empty()) {
    candidates.swap(unusable);
  }
  const EndpointPtr preferred =
      request.affinity == 0
          ? nullptr
          : FindRendezvousEndpoint(candidates, request.affinity);
  EndpointPtr best;
  double best_cost_tokens = 0;
  for (const EndpointPtr& endpoint : candidates) {
    double cost_tokens =
        LoadCostTokens(*endpoint, now) + kMaxJitterCostTokens * random.Unit();
    if (!request.data_domain.empty() &&
        endpoint->registration.failure_domain != request.data_domain) {
      cost_tokens += TransferCostTokens(request.data_bytes);
    }
    if (preferred != nullptr && endpoint != preferred) {
      cost_tokens += static_cast<double>(request.shared_tokens);
    }
    if (best == nullptr || cost_tokens < best_cost_tokens) {
      best = endpoint;
      best_cost_tokens = cost_tokens;
    }
  }
  return best;
}

}  // namespace peridotmill
