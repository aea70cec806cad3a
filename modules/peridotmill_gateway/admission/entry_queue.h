#ifndef PERIDOTMILL_GATEWAY_ADMISSION_ENTRY_QUEUE_H_
#define PERIDOTMILL_GATEWAY_ADMISSION_ENTRY_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "peridotmill_gateway/admission/planned_work.h"

namespace peridotmill {

using EntryId = uint64_t;

// A request that waits for its first stage to start.
struct WaitingEntry {
  TimePoint submitted;
  // Latest start with which the request is on time, and with which it is of
  // use.
  TimePoint start_on_time;
  TimePoint start_of_use;
  // 0 is the most urgent.
  int priority = 0;
  // The caller was refused before and does not come back again.
  bool is_returning = false;
  std::vector<PlannedWork> work;
};

// Work of a request that has started.
struct StartedWork {
  PlannedWork work;
  // When the work ends if nothing waits.
  TimePoint expected_end;
};

// Requests before and within the stages of a group of pools.
struct EntryQueue {
  std::map<EntryId, WaitingEntry> waiting;
  std::map<EntryId, std::vector<StartedWork>> started;
};

// What a pool gets through in a second.
struct PoolRate {
  double items = 0;
  // Room for results that comes free; 0 means that room is not limited.
  double result_bytes = 0;
};
using PoolRates = std::map<PoolId, PoolRate>;

// Takes the requests that start now, in the order in which they start. Answers
// bursts above the capacity of the stage pools: a request starts only when each
// pool on its way has time and room for it by then, so that the excess waits
// where it holds nothing, and what has started goes through without delay.
// Requests that can still be on time go first, the more urgent before others;
// the late ones use what they leave.
std::vector<EntryId> TakeStartable(EntryQueue& queue,
                                   const PoolRates& rates,
                                   TimePoint now);

// Takes the requests whose answer would come after their callers have left.
std::vector<EntryId> TakeExpired(EntryQueue& queue, TimePoint now);

// Whether to refuse a new request at once, and after which time its caller
// should come back; nothing to let it wait. A first call is refused when it is
// predicted to be late, for its caller comes back when the queue has drained;
// one that returns only when it could not be served at all.
std::optional<Duration> DecideRefusal(const EntryQueue& queue,
                                      const PoolRates& rates,
                                      const WaitingEntry& entry,
                                      TimePoint now);

// Notes that a started request needs nothing more of a pool for one stage.
void FinishWork(EntryQueue& queue, EntryId id, const PoolId& pool, int items);
// The request has ended.
void RemoveEntry(EntryQueue& queue, EntryId id);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_ADMISSION_ENTRY_QUEUE_H_
