#ifndef PERIDOTMILL_LIMITS_QUEUES_FAIR_QUEUE_H_
#define PERIDOTMILL_LIMITS_QUEUES_FAIR_QUEUE_H_

#include <array>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>

#include "peridotmill_limits/queues/queued_work.h"

namespace peridotmill {

// Each priority has two ranks: teams within their share, then those over it.
// Waiting work gains one rank per half second, which is one level per second.
inline constexpr size_t kQueueLevels = 16;
inline constexpr size_t kQueueRanks = 2 * kQueueLevels;
inline constexpr Duration kTimePerRank = std::chrono::milliseconds(500);

// Virtual finish time and ticket. The tree tells the number of smaller keys
// in O(log n), which std::set cannot.
using FairOrder =
    __gnu_pbds::tree<std::pair<double, int64_t>,
                     __gnu_pbds::null_type,
                     std::less<std::pair<double, int64_t>>,
                     __gnu_pbds::rb_tree_tag,
                     __gnu_pbds::tree_order_statistics_node_update>;

struct QueueRank {
  FairOrder order;
  // Sum of the expected service times in milliseconds.
  double cost = 0;
};

struct QueueEntry {
  QueuedItem item;
  double finish = 0;
  size_t rank = 0;
  TimePoint promoted_at{};
};

// A team with queued work; teams without any hold no state.
struct QueueTeam {
  int32_t queued = 0;
  double last_finish = 0;
};

// Work that waits for one pool: by priority with ageing, then by weighted
// fair queuing over teams (self-clocked, Golestani 1994). All operations take
// O(log n).
struct FairQueue {
  size_t capacity = 256;
  int64_t next_ticket = 1;
  // Virtual finish time of the work served last.
  double virtual_time = 0;
  std::array<QueueRank, kQueueRanks> ranks;
  std::unordered_map<int64_t, QueueEntry> entries;
  std::unordered_map<TeamId, QueueTeam> teams;
  std::set<std::pair<TimePoint, int64_t>> by_promotion;
  std::set<std::pair<TimePoint, int64_t>> by_latest_start;
};

FairQueue MakeFairQueue(int32_t capacity);

// Adds work. When the queue is full, the new work takes the place of the one
// that would be served last, if it goes before that one: the newest of the
// lowest priority, or the tail of a team that holds most of its priority.
EnqueueResult Enqueue(FairQueue& queue, QueuedWork work, TimePoint now);

// The work to be served next, or null.
const QueuedItem* PeekNext(FairQueue& queue, TimePoint now);

// Removes and returns the work to be served next, and counts it as served.
std::optional<QueuedItem> PopNext(FairQueue& queue, TimePoint now);

// Removes work that will not be served; false when it is not queued.
bool RemoveQueued(FairQueue& queue, QueueTicket ticket);

// Removes and returns work that can no longer start in time.
std::vector<QueuedItem> TakeExpired(FairQueue& queue, TimePoint now);

// When TakeExpired() will next have something to return.
std::optional<TimePoint> NextExpiry(const FairQueue& queue);

// Expected service time of all work that would be served before `work` if it
// were queued now.
Duration WorkAhead(FairQueue& queue, const QueuedWork& work, TimePoint now);

// Whether Enqueue() would find a place.
bool HasPlace(FairQueue& queue, const QueuedWork& work, TimePoint now);

inline size_t QueueSize(const FairQueue& queue) {
  return queue.entries.size();
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_LIMITS_QUEUES_FAIR_QUEUE_H_
