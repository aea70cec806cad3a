#include "peridotmill_gateway/placement/endpoint_placement.h"

#include <algorithm>
#include <string>

#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// A load report loses half of its weight in this time, about the time in which
// a fleet's short requests are replaced by others.
constexpr Duration kReportHalfLife = std::chrono::milliseconds(500);
// Costs are counted in tokens that an engine reads.
// Moving a megabyte between failure domains, from the ratio of the operators'
// prices: 32 for a gigabyte against 0.078 for a thousand tokens.
constexpr double kTokensPerMegabyte = 410;
constexpr double kBytesPerMegabyte = 1e6;
// A near endpoint is preferred by this much whatever is moved.
constexpr double kOtherDomainTokens = 20;
// All slots of an endpoint taken. A holder with half of its slots taken more
// than the next one loses a prompt that shares 10,000 tokens.
constexpr double kFullLoadTokens = 20'000;
// Work that waits at an endpoint, for each share of its slots.
constexpr double kWaitingTokens = 100'000;
// Random part of the cost; breaks ties between nodes that see the same reports.
constexpr double kJitterTokens = 200;

bool IsTried(const PlacementRequest& request, const EndpointId& id) {
  return std::find(request.tried.begin(), request.tried.end(), id) !=
         request.tried.end();
}

double LoadCost(const Endpoint& endpoint, TimePoint now) {
  const double load = EstimateLoad(endpoint, now);
  return kFullLoadTokens * load + kWaitingTokens * std::max(0.0, load - 1);
}

}  // namespace

EndpointPtr FindHolder(const std::vector<EndpointPtr>& endpoints,
                       uint64_t affinity) {
  EndpointPtr holder;
  uint64_t best = 0;
  for (const EndpointPtr& endpoint : endpoints) {
    const uint64_t score = Hash64(endpoint->registration.id.value(), affinity);
    if (holder == nullptr || score > best) {
      holder = endpoint;
      best = score;
    }
  }
  return holder;
}

double MovingCostTokens(int64_t bytes) {
  return kOtherDomainTokens +
         kTokensPerMegabyte * static_cast<double>(bytes) / kBytesPerMegabyte;
}

double EstimateLoad(const Endpoint& endpoint, TimePoint now) {
  const double slots = std::max(1, endpoint.registration.slots);
  const double weight =
      ExponentialDecay(now - endpoint.reported_at, kReportHalfLife);
  const double reported =
      weight * (endpoint.reported_running + endpoint.reported_waiting);
  return std::max(reported, static_cast<double>(endpoint.open_calls)) / slots;
}

bool IsTrusted(const Endpoint& endpoint, TimePoint now, Duration longest_wait) {
  if (endpoint.ejected_until > now || IsDomainAvoided(*endpoint.domain, now)) {
    return false;
  }
  return endpoint.unanswered_since.empty() ||
         now - endpoint.unanswered_since.front() <= longest_wait;
}

EndpointPtr ChooseEndpoint(const std::vector<EndpointPtr>& serving,
                           const PlacementRequest& request,
                           Duration longest_wait,
                           TimePoint now,
                           Random& random) {
  std::vector<EndpointPtr> candidates;
  std::vector<EndpointPtr> untrusted;
  for (const EndpointPtr& endpoint : serving) {
    if (!IsTried(request, endpoint->registration.id)) {
      (IsTrusted(*endpoint, now, longest_wait) ? candidates : untrusted)
          .push_back(endpoint);
    }
  }
  if (candidates.empty()) {
    candidates.swap(untrusted);
  }
  const EndpointPtr holder = request.affinity == 0
                                 ? nullptr
                                 : FindHolder(candidates, request.affinity);
  EndpointPtr best;
  double best_cost = 0;
  for (const EndpointPtr& endpoint : candidates) {
    double cost = LoadCost(*endpoint, now) + kJitterTokens * random.Unit();
    if (!request.data_domain.empty() &&
        endpoint->registration.failure_domain != request.data_domain) {
      cost += MovingCostTokens(request.data_bytes);
    }
    if (holder != nullptr && endpoint != holder) {
      cost += static_cast<double>(request.shared_tokens);
    }
    if (best == nullptr || cost < best_cost) {
      best = endpoint;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace peridotmill
