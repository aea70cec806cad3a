#include "peridotmill_gateway/overload/displacement.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>

#include "peridotmill_gateway/admission/pool_load.h"

namespace peridotmill {
namespace {

struct Candidate {
  StartOutlook outlook;
  TimePoint ordering_time;
  AdmissionId id;
};

std::vector<Candidate> OrderCandidates(const AdmissionQueue& queue,
                                       TimePoint now) {
  std::vector<Candidate> candidates;
  candidates.reserve(queue.waiting.size());
  for (const auto& [id, request] : queue.waiting) {
    const StartOutlook outlook =
        PredictOutlook(request.latest_on_time_start, Duration::zero(), now);
    candidates.push_back({outlook, OrderingTime(queue, request, outlook), id});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(a.outlook, a.ordering_time, a.id) <
                     std::tie(b.outlook, b.ordering_time, b.id);
            });
  return candidates;
}

}  // namespace

std::vector<DisplacedRequest> TakeDisplaced(AdmissionQueue& queue,
                                            const PoolThroughputs& throughputs,
                                            TimePoint now) {
  std::vector<DisplacedRequest> displaced;
  if (queue.waiting.empty() || !DoPrioritiesCompete(queue.demands)) {
    return displaced;
  }
  const StartedLoads loads(queue, now);
  const StartShares shares(queue, throughputs, now);
  std::unordered_map<PoolId, PoolLoad> ahead;
  for (const Candidate& candidate : OrderCandidates(queue, now)) {
    const WaitingRequest& request = queue.waiting.at(candidate.id);
    double wait = 0;
    for (const PlannedWork& work : request.work) {
      PoolLoad load = loads.Before(work);
      load.Add(ahead[work.pool]);
      wait = std::max(wait,
                      PredictWaitSeconds(load, work, throughputs,
                                         shares.For(work, candidate.outlook)));
    }
    if (candidate.outlook == StartOutlook::kLate &&
        now + FromSeconds(wait) > request.latest_useful_start) {
      displaced.push_back({candidate.id, FromSeconds(wait)});
      continue;
    }
    for (const PlannedWork& work : request.work) {
      ahead[work.pool].Add(work);
    }
  }
  for (const DisplacedRequest& request : displaced) {
    queue.waiting.erase(request.id);
  }
  return displaced;
}

}  // namespace peridotmill
