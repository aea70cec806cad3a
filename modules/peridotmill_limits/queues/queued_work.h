#ifndef PERIDOTMILL_LIMITS_QUEUES_QUEUED_WORK_H_
#define PERIDOTMILL_LIMITS_QUEUES_QUEUED_WORK_H_

#include <cstdint>
#include <optional>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/units/quantity.h"

namespace peridotmill {

// Identifies one entry within one queue. Tickets ascend in order of arrival.
using QueueTicket = Quantity<struct QueueTicketTag>;

// One stage of a request that waits for an endpoint of a pool.
struct QueuedWork {
  RequestId request;
  StageId stage;
  TeamId team;
  // Priority::level; level 0 is served first.
  int32_t level = 0;
  // Team::share, the team's weight.
  double share = 1.0;
  // True if the team has recently used more than its share. Its work is then
  // queued behind work of the same priority from teams within their share.
  bool is_over_share = false;
  // Expected service time.
  Duration cost{};
  // Latest time at which the stage can start and still meet the request's
  // deadline.
  TimePoint latest_start{};
};

// Queued work with its ticket and the time at which it was queued.
struct QueuedItem {
  QueueTicket ticket;
  QueuedWork work;
  TimePoint enqueued_at{};
};

// Result of Enqueue().
struct EnqueueResult {
  // Ticket of the new work; nullopt if the queue is full of work that would be
  // served before it.
  std::optional<QueueTicket> ticket;
  // Work that was removed to accept the new work. The caller must refuse it
  // with kQueueFull.
  std::optional<QueuedItem> displaced;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_LIMITS_QUEUES_QUEUED_WORK_H_
