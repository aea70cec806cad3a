#include "peridotmill_gateway/admission/pool_load.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

constexpr double kMillisecondsPerSecond = 1000;
// The admission horizon of a stage is the time within which a pool has to be
// able to finish the started work: margin + factor * planned end. The queueing
// time that the horizon allows lets batched calls fill: 100 ms are about a
// third of a call of 280 ms, and the factor leaves a quarter for work that
// accumulates in earlier stages.
constexpr Duration kAdmissionHorizonMargin = std::chrono::milliseconds(100);
constexpr double kAdmissionHorizonFactor = 1.25;
// Share of a pool's nominal throughput that is reached: not all calls are full.
constexpr double kUsableThroughputShare = 0.9;
// Started work that is overdue by more than this belongs to a request that is
// delayed elsewhere, and does not count as load.
constexpr Duration kMaxOverdue = std::chrono::seconds(2);

PoolLoad MakeLoad(const StartedWork& part) {
  PoolLoad load;
  load.Add(part.work);
  return load;
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

}  // namespace

double ToSeconds(Duration duration) {
  return ToMilliseconds(duration) / kMillisecondsPerSecond;
}

Duration FromSeconds(double seconds) {
  return FromMilliseconds(seconds * kMillisecondsPerSecond);
}

void PoolLoad::Add(const PlannedWork& work) {
  items += work.items;
  result_bytes += static_cast<double>(work.result_bytes);
}

void PoolLoad::Add(const PoolLoad& load) {
  items += load.items;
  result_bytes += load.result_bytes;
}

StartedLoads::StartedLoads(const AdmissionQueue& queue, TimePoint now)
    : now_(now) {
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

PoolLoad StartedLoads::Before(const PlannedWork& work) const {
  const auto pool = pools_.find(work.pool);
  if (pool == pools_.end()) {
    return PoolLoad();
  }
  const size_t count = IndexAfter(pool->second, now_ + work.end);
  return count == 0 ? PoolLoad() : pool->second[count - 1].total;
}

void StartedLoads::Add(const StartedWork& part) {
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

size_t StartedLoads::IndexAfter(const std::vector<Entry>& loads,
                                TimePoint time) {
  const auto next = std::upper_bound(
      loads.begin(), loads.end(), time,
      [](TimePoint value, const Entry& entry) { return value < entry.end; });
  return static_cast<size_t>(next - loads.begin());
}

StartShares::StartShares(const AdmissionQueue& queue,
                         const PoolThroughputs& throughputs,
                         TimePoint now)
    : demands_(queue.demands) {
  for (const auto& [pool, throughput] : throughputs) {
    pressures_[pool] = PoolPressure(queue.pool_demands, pool,
                                    throughput.items_per_second, now);
  }
}

double StartShares::For(const PlannedWork& work, StartOutlook outlook) const {
  const auto pressure = pressures_.find(work.pool);
  return StartShare(demands_, outlook,
                    pressure == pressures_.end() ? 0 : pressure->second);
}

double AdmissionHorizonSeconds(const PlannedWork& work) {
  return ToSeconds(kAdmissionHorizonMargin) +
         kAdmissionHorizonFactor * ToSeconds(work.end);
}

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

double PredictWaitSeconds(const PoolLoad& load,
                          const PlannedWork& work,
                          const PoolThroughputs& throughputs,
                          double horizon_share) {
  return std::max(SecondsOfWork(load, work, throughputs),
                  SecondsOfResultMemory(load, work, throughputs)) -
         horizon_share * AdmissionHorizonSeconds(work);
}

}  // namespace peridotmill
