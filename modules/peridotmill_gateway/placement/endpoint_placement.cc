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
// Cost of another failure domain, in shares of an endpoint's slots.
constexpr double kOtherDomainCost = 0.5;
// Cost of each place further down the order of affinity, in shares of an
// endpoint's slots: a second holder takes over when the first has this much
// more load.
constexpr double kAffinityRankCost = 0.15;
// Places in the order of affinity that are told apart.
constexpr double kMaxAffinityRank = 4;
// Random part of the cost; breaks ties between nodes that see the same reports.
constexpr double kJitter = 0.02;

bool IsTried(const PlacementRequest& request, const EndpointId& id) {
  return std::find(request.tried.begin(), request.tried.end(), id) !=
         request.tried.end();
}

uint64_t AffinityScore(uint64_t affinity, const EndpointId& id) {
  return Hash64(id.value(), affinity);
}

}  // namespace

double EstimateLoad(const Endpoint& endpoint, TimePoint now) {
  const double slots = std::max(1, endpoint.registration.slots);
  const double weight = DecayOver(now - endpoint.reported_at, kReportHalfLife);
  const double reported =
      weight * (endpoint.reported_running + endpoint.reported_waiting);
  return std::max(reported, static_cast<double>(endpoint.open_calls)) / slots;
}

bool IsTrusted(const Endpoint& endpoint, TimePoint now, Duration longest_wait) {
  if (endpoint.ejected_until > now) {
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
  struct Candidate {
    EndpointPtr endpoint;
    uint64_t affinity_score;
    bool is_in_domain;
  };
  std::vector<Candidate> candidates;
  std::vector<Candidate> untrusted;
  for (const EndpointPtr& endpoint : serving) {
    const EndpointId& id = endpoint->registration.id;
    if (IsTried(request, id)) {
      continue;
    }
    const Candidate candidate = {
        endpoint,
        request.affinity == 0 ? 0 : AffinityScore(request.affinity, id),
        request.preferred_domain.empty() ||
            endpoint->registration.failure_domain == request.preferred_domain};
    (IsTrusted(*endpoint, now, longest_wait) ? candidates : untrusted)
        .push_back(candidate);
  }
  if (candidates.empty()) {
    candidates.swap(untrusted);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              if (a.is_in_domain != b.is_in_domain) {
                return a.is_in_domain;
              }
              return a.affinity_score > b.affinity_score;
            });
  EndpointPtr best;
  double best_cost = 0;
  for (size_t rank = 0; rank < candidates.size(); ++rank) {
    const Candidate& candidate = candidates[rank];
    double cost = EstimateLoad(*candidate.endpoint, now) +
                  kJitter * random.Unit() +
                  (candidate.is_in_domain ? 0 : kOtherDomainCost);
    if (request.affinity != 0) {
      cost += kAffinityRankCost *
              std::min(static_cast<double>(rank), kMaxAffinityRank);
    }
    if (best == nullptr || cost < best_cost) {
      best = candidate.endpoint;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace peridotmill
