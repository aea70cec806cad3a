#include "peridotmill_gateway/admission/admission_queue.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "peridotmill_gateway/admission/pool_load.h"

namespace peridotmill {
namespace {

// Minimum share of a pool's throughput that late requests get, averaged over a
// burst and the time after it; used to predict how long a late request waits.
constexpr double kLateThroughputShare = 0.5;

StartOutlook OutlookBeforeQueueing(const WaitingRequest& request,
                                   TimePoint now) {
  return PredictOutlook(request.latest_on_time_start, Duration::zero(), now);
}

// Starts waiting requests. Lives for one decision.
class Admitter {
 public:
  Admitter(AdmissionQueue& queue,
           const PoolThroughputs& throughputs,
           TimePoint now)
      : queue_(queue),
        throughputs_(throughputs),
        now_(now),
        loads_(queue, now),
        shares_(queue, throughputs, now) {}

  std::vector<AdmissionId> AdmitAll() {
    StartGuaranteed();
    StartOnTime();
    StartLate();
    return std::move(admitted_);
  }

 private:
  // A waiting request with its place in the order.
  struct Candidate {
    StartOutlook outlook;
    TimePoint ordering_time;
    AdmissionId id;
  };

  static void Sort(std::vector<Candidate>& candidates) {
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate& a, const Candidate& b) {
                return std::tie(a.outlook, a.ordering_time, a.id) <
                       std::tie(b.outlook, b.ordering_time, b.id);
              });
  }

  void Start(AdmissionId id) {
    auto request = queue_.waiting.extract(id);
    RecordStart(queue_.demands, request.mapped().priority,
                request.mapped().pool_seconds, now_);
    auto& parts = queue_.started[id];
    for (PlannedWork& work : request.mapped().work) {
      const TimePoint end = now_ + work.end;
      parts.push_back({std::move(work), end});
      loads_.Add(parts.back());
    }
    admitted_.push_back(id);
  }

  // Starts requests of priorities that are below their guaranteed share.
  void StartGuaranteed() {
    if (!IsAnyBelowGuaranteedShare(queue_.demands)) {
      return;
    }
    std::vector<Candidate> candidates;
    for (const auto& [id, request] : queue_.waiting) {
      if (IsBelowGuaranteedShare(queue_.demands, request.priority)) {
        const StartOutlook outlook = OutlookBeforeQueueing(request, now_);
        candidates.push_back(
            {outlook, OrderingTime(queue_, request, outlook), id});
      }
    }
    Sort(candidates);
    for (const Candidate& candidate : candidates) {
      if (IsBelowGuaranteedShare(queue_.demands,
                                 queue_.waiting.at(candidate.id).priority)) {
        Start(candidate.id);
      }
    }
  }

  void StartOnTime() {
    std::vector<Candidate> candidates;
    for (const auto& [id, request] : queue_.waiting) {
      candidates.push_back(
          {StartOutlook::kOnTime,
           OrderingTime(queue_, request, StartOutlook::kOnTime), id});
    }
    Sort(candidates);
    for (const Candidate& candidate : candidates) {
      const WaitingRequest& request = queue_.waiting.at(candidate.id);
      double delay = 0;
      bool is_startable = true;
      for (const PlannedWork& work : request.work) {
        const PoolLoad load = loads_.Before(work);
        delay = std::max(delay, SecondsOfWork(load, work, throughputs_) -
                                    ToSeconds(work.end));
        // A request holds no results while it waits for its first stage.
        const bool is_limited = work.start > Duration::zero();
        if (full_pools_.contains(work.pool) ||
            (is_limited &&
             PredictWaitSeconds(load, work, throughputs_, 1) > 0)) {
          is_startable = false;
        }
      }
      const StartOutlook outlook = PredictOutlook(request.latest_on_time_start,
                                                  FromSeconds(delay), now_);
      if (outlook != StartOutlook::kOnTime) {
        late_.push_back(
            {outlook, OrderingTime(queue_, request, outlook), candidate.id});
      } else if (is_startable) {
        Start(candidate.id);
      } else {
        AddFullPools(request);
      }
    }
  }

  void AddFullPools(const WaitingRequest& request) {
    for (const PlannedWork& work : request.work) {
      if (PredictWaitSeconds(loads_.Before(work), work, throughputs_, 1) > 0) {
        full_pools_.insert(work.pool);
      }
    }
  }

  void StartLate() {
    Sort(late_);
    for (const Candidate& candidate : late_) {
      const WaitingRequest& request = queue_.waiting.at(candidate.id);
      bool is_startable = true;
      for (const PlannedWork& work : request.work) {
        const double share = shares_.For(work, candidate.outlook);
        if (full_pools_.contains(work.pool) ||
            PredictWaitSeconds(loads_.Before(work), work, throughputs_, share) >
                0) {
          full_pools_.insert(work.pool);
          is_startable = false;
        }
      }
      if (is_startable) {
        Start(candidate.id);
      }
    }
  }

  AdmissionQueue& queue_;
  const PoolThroughputs& throughputs_;
  const TimePoint now_;
  StartedLoads loads_;
  const StartShares shares_;
  // Pools for which an earlier candidate waits: later candidates must not
  // overtake it there.
  std::set<PoolId> full_pools_;
  std::vector<Candidate> late_;
  std::vector<AdmissionId> admitted_;
};

}  // namespace

double PoolSeconds(const std::vector<PlannedWork>& work,
                   const PoolThroughputs& throughputs) {
  double seconds = 0;
  for (const PlannedWork& part : work) {
    PoolLoad load;
    load.Add(part);
    seconds += SecondsOfWork(load, part, throughputs);
  }
  return seconds;
}

TimePoint OrderingTime(const AdmissionQueue& queue,
                       const WaitingRequest& request,
                       StartOutlook outlook) {
  return request.submitted + YieldDelay(queue.demands, request.priority,
                                        request.pool_seconds, outlook);
}

std::vector<AdmissionId> AdmitRequests(AdmissionQueue& queue,
                                       const PoolThroughputs& throughputs,
                                       TimePoint now) {
  return Admitter(queue, throughputs, now).AdmitAll();
}

std::vector<AdmissionId> TakeExpired(AdmissionQueue& queue, TimePoint now) {
  std::vector<AdmissionId> expired;
  for (const auto& [id, request] : queue.waiting) {
    if (now > request.latest_useful_start) {
      expired.push_back(id);
    }
  }
  for (const AdmissionId id : expired) {
    queue.waiting.erase(id);
  }
  return expired;
}

std::optional<Duration> DecideRefusal(const AdmissionQueue& queue,
                                      const PoolThroughputs& throughputs,
                                      const WaitingRequest& request,
                                      TimePoint now) {
  double on_time_wait = 0;
  double late_wait = 0;
  // How much longer than planned the stages take once their pools are full.
  double delay = 0;
  const StartedLoads loads(queue, now);
  std::unordered_map<PoolId, PoolLoad> waiting_ahead;
  std::unordered_map<PoolId, PoolLoad> late_ahead;
  const TimePoint on_time_order =
      OrderingTime(queue, request, StartOutlook::kOnTime);
  const TimePoint late_order =
      OrderingTime(queue, request, StartOutlook::kLate);
  const bool compete = DoPrioritiesCompete(queue.demands);
  for (const auto& [id, waiting] : queue.waiting) {
    const bool is_ahead =
        now <= waiting.latest_on_time_start &&
        OrderingTime(queue, waiting, StartOutlook::kOnTime) <= on_time_order;
    // A late request yields to the waiting ones, but not to those that yield to
    // it.
    const bool is_late_ahead =
        !compete || waiting.priority <= request.priority ||
        OrderingTime(queue, waiting, StartOutlook::kLate) <= late_order;
    for (const PlannedWork& part : waiting.work) {
      if (is_late_ahead) {
        late_ahead[part.pool].Add(part);
      }
      if (is_ahead) {
        waiting_ahead[part.pool].Add(part);
      }
    }
  }
  const StartShares shares(queue, throughputs, now);
  for (const PlannedWork& work : request.work) {
    PoolLoad load_ahead = loads.Before(work);
    PoolLoad total_load = load_ahead;
    load_ahead.Add(waiting_ahead[work.pool]);
    total_load.Add(late_ahead[work.pool]);
    const double wait = PredictWaitSeconds(load_ahead, work, throughputs, 1);
    on_time_wait = std::max(on_time_wait, wait);
    const double slack = AdmissionHorizonSeconds(work) - ToSeconds(work.end);
    delay = std::max(delay, std::clamp(wait + slack, 0.0, slack));
    late_wait = std::max(
        late_wait, PredictWaitSeconds(total_load, work, throughputs,
                                      shares.For(work, StartOutlook::kLate)));
  }
  const bool is_on_time =
      now + FromSeconds(on_time_wait + delay) <= request.latest_on_time_start;
  if (is_on_time) {
    return std::nullopt;
  }
  const bool is_served_late =
      now + FromSeconds(late_wait / kLateThroughputShare) <=
      request.latest_useful_start;
  if (is_served_late) {
    return std::nullopt;
  }
  return FromSeconds(std::max(on_time_wait, late_wait));
}

void FinishWork(AdmissionQueue& queue,
                AdmissionId id,
                const PoolId& pool,
                int items) {
  const auto found = queue.started.find(id);
  if (found == queue.started.end()) {
    return;
  }
  auto& parts = found->second;
  const auto part =
      std::find_if(parts.begin(), parts.end(), [&](const StartedWork& started) {
        return started.work.pool == pool && started.work.items == items;
      });
  if (part != parts.end()) {
    parts.erase(part);
  }
}

void RemoveRequest(AdmissionQueue& queue, AdmissionId id) {
  queue.waiting.erase(id);
  queue.started.erase(id);
}

}  // namespace peridotmill
