#include "peridotmill_gateway/admission/admission_queue.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// The admission horizon of a stage is the time within which a pool has to be
// able to finish the started work: margin + factor * planned end. The queueing
// time that the horizon allows lets batched calls fill: 100 ms are about a
// third of a call of 280 ms, and the factor leaves a quarter for work that
// accumulates in earlier stages.
constexpr Duration kAdmissionHorizonMargin = std::chrono::milliseconds(100);
constexpr double kAdmissionHorizonFactor = 1.25;
// Late requests start only up to this share of the horizon; the rest is
// reserved for arriving requests that can be on time.
constexpr double kLateHorizonShare = 0.3;
// Minimum share of a pool's throughput that late requests get, averaged over a
// burst and the time after it; used to predict how long a late request waits.
constexpr double kLateThroughputShare = 0.5;
// Delay of the ordering time for each priority level below the most urgent, so
// that urgent requests go first and the others do not starve.
constexpr Duration kOrderingDelayPerPriority = std::chrono::milliseconds(600);
// Share of a pool's nominal throughput that is reached: not all calls are full.
constexpr double kUsableThroughputShare = 0.9;
// Started work that is overdue by more than this belongs to a request that is
// delayed elsewhere, and does not count as load.
constexpr Duration kMaxOverdue = std::chrono::seconds(2);

// Work that a pool has to do.
struct PoolLoad {
  double items = 0;
  double result_bytes = 0;

  void Add(const PlannedWork& work) {
    items += work.items;
    result_bytes += static_cast<double>(work.result_bytes);
  }
  void Add(const PoolLoad& load) {
    items += load.items;
    result_bytes += load.result_bytes;
  }
};

double ToSeconds(Duration duration) {
  constexpr double kMillisecondsPerSecond = 1000;
  return ToMilliseconds(duration) / kMillisecondsPerSecond;
}

Duration FromSeconds(double seconds) {
  constexpr double kMillisecondsPerSecond = 1000;
  return FromMilliseconds(seconds * kMillisecondsPerSecond);
}

double AdmissionHorizonSeconds(const PlannedWork& work) {
  return ToSeconds(kAdmissionHorizonMargin) +
         kAdmissionHorizonFactor * ToSeconds(work.end);
}

// Work of started requests by pool and expected end. Built once for a decision
// that asks about many requests.
class StartedLoads {
 public:
  StartedLoads(const AdmissionQueue& queue, TimePoint now) : now_(now) {
    for (const auto& [id, parts] : queue.started) {
      for (const StartedWork& part : parts) {
        if (part.expected_end + kMaxOverdue > now) {
          pools_[part.work.pool].push_back({part.expected_end, MakeLoad(part)});
        }
      }
    }
    for (auto& [pool, loads] : pools_) {
      std::sort(loads.begin(), loads.end(),
                [](const Entry& a, const Entry& b) { return a.end < b.end; });
      for (size_t i = 1; i < loads.size(); ++i) {
        loads[i].total.Add(loads[i - 1].total);
      }
    }
  }

  // Returns the work that the pool of `work` has to do before the planned end
  // of `work`.
  PoolLoad Before(const PlannedWork& work) const {
    const auto pool = pools_.find(work.pool);
    if (pool == pools_.end()) {
      return PoolLoad();
    }
    const size_t count = IndexAfter(pool->second, now_ + work.end);
    return count == 0 ? PoolLoad() : pool->second[count - 1].total;
  }

  void Add(const StartedWork& part) {
    std::vector<Entry>& loads = pools_[part.work.pool];
    const PoolLoad load = MakeLoad(part);
    const size_t index = IndexAfter(loads, part.expected_end);
    Entry entry{part.expected_end, load};
    if (index > 0) {
      entry.total.Add(loads[index - 1].total);
    }
    loads.insert(loads.begin() + static_cast<ptrdiff_t>(index), entry);
    for (size_t i = index + 1; i < loads.size(); ++i) {
      loads[i].total.Add(load);
    }
  }

 private:
  struct Entry {
    TimePoint end;
    // Sum of this entry and all earlier ones.
    PoolLoad total;
  };

  static PoolLoad MakeLoad(const StartedWork& part) {
    PoolLoad load;
    load.Add(part.work);
    return load;
  }
  // Returns the index of the first entry that ends after `time`.
  static size_t IndexAfter(const std::vector<Entry>& loads, TimePoint time) {
    const auto next = std::upper_bound(
        loads.begin(), loads.end(), time,
        [](TimePoint value, const Entry& entry) { return value < entry.end; });
    return static_cast<size_t>(next - loads.begin());
  }

  TimePoint now_;
  std::unordered_map<PoolId, std::vector<Entry>> pools_;
};

// Returns how many seconds the pool of `work` needs for `load`; 0 if no
// endpoint of the pool is known to be usable: the request is admitted
// nevertheless, and its stage task finds out.
double SecondsOfWork(const PoolLoad& load,
                     const PlannedWork& work,
                     const PoolThroughputs& throughputs) {
  const auto throughput = throughputs.find(work.pool);
  if (throughput == throughputs.end() ||
      throughput->second.items_per_second <= 0) {
    return 0;
  }
  return load.items /
         (throughput->second.items_per_second * kUsableThroughputShare);
}

// Returns how many seconds the pool of `work` needs to free the memory that the
// results of `load` take; 0 if its memory is not limited.
double SecondsOfResultMemory(const PoolLoad& load,
                             const PlannedWork& work,
                             const PoolThroughputs& throughputs) {
  const auto throughput = throughputs.find(work.pool);
  if (throughput == throughputs.end() ||
      throughput->second.items_per_second <= 0 ||
      throughput->second.result_bytes_per_second <= 0) {
    return 0;
  }
  return load.result_bytes / throughput->second.result_bytes_per_second;
}

// Predicts how many seconds `work` has to wait until `load` fits into
// `horizon_share` of its admission horizon; 0 or less when `work` need not
// wait.
double PredictWaitSeconds(const PoolLoad& load,
                          const PlannedWork& work,
                          const PoolThroughputs& throughputs,
                          double horizon_share) {
  return std::max(SecondsOfWork(load, work, throughputs),
                  SecondsOfResultMemory(load, work, throughputs)) -
         horizon_share * AdmissionHorizonSeconds(work);
}

bool CanStartOnTime(const WaitingRequest& request, TimePoint now) {
  return now <= request.latest_on_time_start;
}

TimePoint OrderingTime(const WaitingRequest& request) {
  return request.submitted + request.priority * kOrderingDelayPerPriority;
}

// Returns the waiting requests by ordering time.
std::vector<AdmissionId> OrderWaiting(const AdmissionQueue& queue) {
  std::vector<std::pair<TimePoint, AdmissionId>> order;
  order.reserve(queue.waiting.size());
  for (const auto& [id, request] : queue.waiting) {
    order.emplace_back(OrderingTime(request), id);
  }
  std::sort(order.begin(), order.end());
  std::vector<AdmissionId> ids;
  ids.reserve(order.size());
  for (const auto& [time, id] : order) {
    ids.push_back(id);
  }
  return ids;
}

void StartRequest(AdmissionQueue& queue, AdmissionId id, TimePoint now) {
  auto request = queue.waiting.extract(id);
  auto& parts = queue.started[id];
  for (PlannedWork& work : request.mapped().work) {
    const TimePoint end = now + work.end;
    parts.push_back({std::move(work), end});
  }
}

}  // namespace

std::vector<AdmissionId> AdmitRequests(AdmissionQueue& queue,
                                       const PoolThroughputs& throughputs,
                                       TimePoint now) {
  std::vector<AdmissionId> admitted;
  std::vector<AdmissionId> late;
  // Pools for which an earlier candidate waits: later candidates must not
  // overtake it there.
  std::set<PoolId> full_pools;
  StartedLoads loads(queue, now);
  const auto start = [&](AdmissionId id) {
    StartRequest(queue, id, now);
    for (const StartedWork& part : queue.started.at(id)) {
      loads.Add(part);
    }
    admitted.push_back(id);
  };
  for (const AdmissionId id : OrderWaiting(queue)) {
    const WaitingRequest& request = queue.waiting.at(id);
    bool is_startable = true;
    double delay = 0;
    for (const PlannedWork& work : request.work) {
      const PoolLoad load = loads.Before(work);
      delay = std::max(
          delay, SecondsOfWork(load, work, throughputs) - ToSeconds(work.end));
      // A request holds no results while it waits for its first stage.
      const bool is_limited = work.start > Duration::zero();
      if (full_pools.contains(work.pool) ||
          (is_limited && PredictWaitSeconds(load, work, throughputs, 1) > 0)) {
        is_startable = false;
      }
    }
    if (now + FromSeconds(delay) > request.latest_on_time_start) {
      late.push_back(id);
    } else if (is_startable) {
      start(id);
    } else {
      for (const PlannedWork& work : request.work) {
        if (PredictWaitSeconds(loads.Before(work), work, throughputs, 1) > 0) {
          full_pools.insert(work.pool);
        }
      }
    }
  }
  for (const AdmissionId id : late) {
    bool is_startable = true;
    for (const PlannedWork& work : queue.waiting.at(id).work) {
      if (full_pools.contains(work.pool) ||
          PredictWaitSeconds(loads.Before(work), work, throughputs,
                             kLateHorizonShare) > 0) {
        full_pools.insert(work.pool);
        is_startable = false;
      }
    }
    if (is_startable) {
      start(id);
    }
  }
  return admitted;
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
  std::unordered_map<PoolId, PoolLoad> all_waiting;
  for (const auto& [id, waiting] : queue.waiting) {
    const bool is_ahead = CanStartOnTime(waiting, now) &&
                          OrderingTime(waiting) <= OrderingTime(request);
    for (const PlannedWork& part : waiting.work) {
      all_waiting[part.pool].Add(part);
      if (is_ahead) {
        waiting_ahead[part.pool].Add(part);
      }
    }
  }
  for (const PlannedWork& work : request.work) {
    PoolLoad load_ahead = loads.Before(work);
    PoolLoad total_load = load_ahead;
    load_ahead.Add(waiting_ahead[work.pool]);
    total_load.Add(all_waiting[work.pool]);
    const double wait = PredictWaitSeconds(load_ahead, work, throughputs, 1);
    on_time_wait = std::max(on_time_wait, wait);
    const double slack = AdmissionHorizonSeconds(work) - ToSeconds(work.end);
    delay = std::max(delay, std::clamp(wait + slack, 0.0, slack));
    late_wait = std::max(
        late_wait,
        PredictWaitSeconds(total_load, work, throughputs, kLateHorizonShare));
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
