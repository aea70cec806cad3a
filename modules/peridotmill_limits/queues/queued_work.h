#ifndef PERIDOTMILL_LIMITS_QUEUES_QUEUED_WORK_H_
#define PERIDOTMILL_LIMITS_QUEUES_QUEUED_WORK_H_

#include <cstdint>
#include <optional>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/units/quantity.h"

namespace peridotmill {

// Identifies one queued stage within one queue; in order of arrival.
using QueueTicket = Quantity<struct QueueTicketTag>;

// One stage of a request that waits for an endpoint of a pool.
struct QueuedWork {
  RequestId request;
  StageId stage;
  TeamId team;
  // Priority::level; 0 is served first.
  int32_t level = 0;
  // Team::share.
  double share = 1.0;
  // Whether the team has used more than its share of late; it then queues
  // behind teams of the same priority that have not.
  bool is_over_share = false;
  // Expected service time.
  Duration cost{};
  // When the stage must have started to meet the request's deadline.
  TimePoint latest_start{};
};

struct QueuedItem {
  QueueTicket ticket;
  QueuedWork work;
  TimePoint enqueued_at{};
};

struct EnqueueResult {
  // Empty when the queue is full of work that goes first.
  std::optional<QueueTicket> ticket;
  // Work that lost its place to the new one; refuse it as kQueueFull.
  std::optional<QueuedItem> displaced;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_LIMITS_QUEUES_QUEUED_WORK_H_
