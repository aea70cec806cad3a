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

// Each priority level has two ranks: one for teams within their share, followed
// by one for teams over their share. Queued work moves up by one rank per half
// second, which is one level per second.
inline constexpr size_t kPriorityLevelCount = 16;
inline constexpr size_t kQueueRankCount = 2 * kPriorityLevelCount;
inline constexpr Duration kPromotionInterval = std::chrono::milliseconds(500);

// Ordered set of virtual finish times and tickets. The tree counts the keys
// below a given key in O(log n), which std::set cannot.
using VirtualFinishOrder =
    __gnu_pbds::tree<std::pair<double, int64_t>,
                     __gnu_pbds::null_type,
                     std::less<std::pair<double, int64_t>>,
                     __gnu_pbds::rb_tree_tag,
                     __gnu_pbds::tree_order_statistics_node_update>;

// Queued work of one rank. Rank 0 is served first.
struct QueueRank {
  VirtualFinishOrder order;
  // Sum of the expected service times of the rank's work.
  double cost_ms = 0;
};

// Queued work with its position in the service order.
struct QueueEntry {
  QueuedItem item;
  double virtual_finish = 0;
  size_t rank = 0;
  // When the work entered its present rank.
  TimePoint promoted_at{};
};

// State of a team that has queued work. Teams without queued work have no
// state.
struct QueueTeam {
  int32_t queued_count = 0;
  double last_virtual_finish = 0;
};

// Queue of work for one pool, ordered by priority with ageing, then by weighted
// fair queuing over teams (self-clocked fair queuing, Golestani 1994). All
// operations take O(log n).
struct FairQueue {
  size_t capacity = 256;
  int64_t next_ticket = 1;
  // Highest virtual finish time of the work served so far.
  double virtual_time = 0;
  std::array<QueueRank, kQueueRankCount> ranks;
  std::unordered_map<int64_t, QueueEntry> entries;
  std::unordered_map<TeamId, QueueTeam> teams;
  // Tickets by the time of their next promotion, and by their latest start.
  std::set<std::pair<TimePoint, int64_t>> by_promotion;
  std::set<std::pair<TimePoint, int64_t>> by_latest_start;
};

// Returns an empty queue that holds at most `capacity` entries.
FairQueue MakeFairQueue(int32_t capacity);

// Adds work. If the queue is full, the new work displaces the work that would
// be served last, provided that the new work would be served before it. The
// displaced work is the newest work of the lowest priority, or the last work of
// the team with the most work in that priority.
EnqueueResult Enqueue(FairQueue& queue, QueuedWork work, TimePoint now);

// Returns the work that will be served next, or null if the queue is empty.
const QueuedItem* PeekNext(FairQueue& queue, TimePoint now);

// Removes and returns the work to be served next, and advances the virtual
// time.
std::optional<QueuedItem> PopNext(FairQueue& queue, TimePoint now);

// Removes work that will not be served. Returns false if it is not queued.
bool RemoveQueued(FairQueue& queue, QueueTicket ticket);

// Removes and returns the work whose latest start has passed.
std::vector<QueuedItem> TakeExpired(FairQueue& queue, TimePoint now);

// Returns the earliest time at which TakeExpired() returns work, or nullopt if
// the queue is empty.
std::optional<TimePoint> NextExpiry(const FairQueue& queue);

// Returns the expected total service time of the work that would be served
// before `work` if `work` were queued now.
Duration ServiceTimeAhead(FairQueue& queue,
                          const QueuedWork& work,
                          TimePoint now);

// Returns true if Enqueue() would accept `work`.
bool CanEnqueue(FairQueue& queue, const QueuedWork& work, TimePoint now);

// Returns the number of queued entries.
inline size_t QueueSize(const FairQueue& queue) {
  return queue.entries.size();
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_LIMITS_QUEUES_FAIR_QUEUE_H_
