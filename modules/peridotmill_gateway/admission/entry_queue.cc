#include "peridotmill_gateway/admission/entry_queue.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Started work may take this much longer than without any queue, so that calls
// are full: about a third of a call of 280 ms, and a quarter for what gathers
// on the way.
constexpr Duration kHorizonMargin = std::chrono::milliseconds(100);
constexpr double kHorizonFactor = 1.25;
// Share of that load up to which late requests start; the rest is kept for
// requests that arrive and can be on time.
constexpr double kLateShare = 0.85;
// Late requests get at least this share of a pool, on average over a burst and
// what follows it; predicts how long one waits.
constexpr double kLateDrainShare = 0.5;
// How much earlier a request counts as submitted for each step of priority, so
// that urgent ones go first and the others do not starve.
constexpr Duration kPriorityStep = std::chrono::milliseconds(600);
// A pool is never fully used: calls are not all full.
constexpr double kUsableShare = 0.9;
// Started work that is overdue by more than this belongs to a request that is
// held up elsewhere, and delays nobody.
constexpr Duration kLongestOverdue = std::chrono::seconds(2);

struct Load {
  double items = 0;
  double result_bytes = 0;

  void Add(const PlannedWork& work) {
    items += work.items;
    result_bytes += static_cast<double>(work.result_bytes);
  }
};

double Seconds(Duration duration) {
  constexpr double kMillisecondsPerSecond = 1000;
  return ToMilliseconds(duration) / kMillisecondsPerSecond;
}

Duration FromSeconds(double seconds) {
  constexpr double kMillisecondsPerSecond = 1000;
  return FromMilliseconds(seconds * kMillisecondsPerSecond);
}

double HorizonSeconds(const PlannedWork& work) {
  return Seconds(kHorizonMargin) + kHorizonFactor * Seconds(work.end);
}

// Work of started requests that a pool has to do by the time at which `work`
// would be done.
Load LoadBefore(const EntryQueue& queue,
                const PlannedWork& work,
                TimePoint now) {
  Load load;
  const TimePoint until = now + work.end;
  for (const auto& [id, parts] : queue.started) {
    for (const StartedWork& part : parts) {
      if (part.work.pool == work.pool && part.expected_end <= until &&
          part.expected_end + kLongestOverdue > now) {
        load.Add(part.work);
      }
    }
  }
  return load;
}

// Seconds that `work` waits behind `load`; at most 0 when it need not wait.
double WaitSeconds(const Load& load,
                   const PlannedWork& work,
                   const PoolRates& rates,
                   double share) {
  const auto rate = rates.find(work.pool);
  if (rate == rates.end() || rate->second.items <= 0) {
    // Nothing is known to work there; the request finds out.
    return 0;
  }
  const double horizon = share * HorizonSeconds(work);
  double wait = load.items / (rate->second.items * kUsableShare) - horizon;
  if (rate->second.result_bytes > 0) {
    wait =
        std::max(wait, load.result_bytes / rate->second.result_bytes - horizon);
  }
  return wait;
}

bool IsOnTime(const WaitingEntry& entry, TimePoint now) {
  return now <= entry.start_on_time;
}

TimePoint OrderingTime(const WaitingEntry& entry) {
  return entry.submitted + entry.priority * kPriorityStep;
}

void Start(EntryQueue& queue, EntryId id, TimePoint now) {
  auto entry = queue.waiting.extract(id);
  auto& parts = queue.started[id];
  for (PlannedWork& work : entry.mapped().work) {
    const TimePoint end = now + work.end;
    parts.push_back({std::move(work), end});
  }
}

}  // namespace

std::vector<EntryId> TakeStartable(EntryQueue& queue,
                                   const PoolRates& rates,
                                   TimePoint now) {
  struct Candidate {
    bool is_late;
    TimePoint order;
    EntryId id;
  };
  std::vector<Candidate> order;
  order.reserve(queue.waiting.size());
  for (const auto& [id, entry] : queue.waiting) {
    order.push_back({!IsOnTime(entry, now), OrderingTime(entry), id});
  }
  std::sort(order.begin(), order.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(a.is_late, a.order, a.id) <
                     std::tie(b.is_late, b.order, b.id);
            });
  std::vector<EntryId> taken;
  // Pools for which a request waits: none behind it may go before.
  std::set<PoolId> full;
  for (const Candidate& candidate : order) {
    const WaitingEntry& entry = queue.waiting.at(candidate.id);
    bool is_startable = true;
    for (const PlannedWork& work : entry.work) {
      const bool is_full =
          full.contains(work.pool) ||
          WaitSeconds(LoadBefore(queue, work, now), work, rates,
                      candidate.is_late ? kLateShare : 1) > 0;
      if (is_full) {
        full.insert(work.pool);
        is_startable = false;
      }
    }
    if (is_startable) {
      Start(queue, candidate.id, now);
      taken.push_back(candidate.id);
    }
  }
  return taken;
}

std::vector<EntryId> TakeExpired(EntryQueue& queue, TimePoint now) {
  std::vector<EntryId> expired;
  for (const auto& [id, entry] : queue.waiting) {
    if (now > entry.start_of_use) {
      expired.push_back(id);
    }
  }
  for (const EntryId id : expired) {
    queue.waiting.erase(id);
  }
  return expired;
}

std::optional<Duration> DecideRefusal(const EntryQueue& queue,
                                      const PoolRates& rates,
                                      const WaitingEntry& entry,
                                      TimePoint now) {
  double on_time_wait = 0;
  double late_wait = 0;
  // How much longer than planned the stages take once their pools are full.
  double delay = 0;
  for (const PlannedWork& work : entry.work) {
    Load load = LoadBefore(queue, work, now);
    Load all = load;
    for (const auto& [id, waiting] : queue.waiting) {
      const bool is_ahead = IsOnTime(waiting, now) &&
                            OrderingTime(waiting) <= OrderingTime(entry);
      for (const PlannedWork& part : waiting.work) {
        if (part.pool == work.pool) {
          all.Add(part);
          if (is_ahead) {
            load.Add(part);
          }
        }
      }
    }
    const double wait = WaitSeconds(load, work, rates, 1);
    on_time_wait = std::max(on_time_wait, wait);
    const double slack = HorizonSeconds(work) - Seconds(work.end);
    delay = std::max(delay, std::clamp(wait + slack, 0.0, slack));
    late_wait = std::max(late_wait, WaitSeconds(all, work, rates, kLateShare));
  }
  const bool is_on_time =
      now + FromSeconds(on_time_wait + delay) <= entry.start_on_time;
  if (is_on_time) {
    return std::nullopt;
  }
  const bool is_served_late =
      now + FromSeconds(late_wait / kLateDrainShare) <= entry.start_of_use;
  if (entry.is_returning && is_served_late) {
    return std::nullopt;
  }
  return FromSeconds(std::max(on_time_wait, late_wait));
}

void FinishWork(EntryQueue& queue, EntryId id, const PoolId& pool, int items) {
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

void RemoveEntry(EntryQueue& queue, EntryId id) {
  queue.waiting.erase(id);
  queue.started.erase(id);
}

}  // namespace peridotmill
