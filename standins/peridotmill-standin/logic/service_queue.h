#ifndef STANDINS_LOGIC_SERVICE_QUEUE_H_
#define STANDINS_LOGIC_SERVICE_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill::standin {

struct ServiceSettings {
  int32_t concurrency = 8;
  int32_t max_waiting = 64;
  // Service times are log-normal with these quantiles.
  Duration median = std::chrono::milliseconds(20);
  Duration p95 = std::chrono::milliseconds(60);
};

struct ServiceQueue {
  struct Waiting {
    uint64_t number = 0;
    double slow_factor = 1;
  };
  ServiceSettings settings;
  Random random{1};
  // Requests in execution with the time at which they end.
  std::map<uint64_t, TimePoint> running;
  std::deque<Waiting> waiting;
};

struct ServiceStep {
  std::vector<uint64_t> started;
  std::vector<uint64_t> finished;
};

// False when the queue is full; the request was then not run.
bool Submit(ServiceQueue& queue, uint64_t number, double slow_factor);

// Withdraws a request that has not started. A started one runs to its end.
bool Withdraw(ServiceQueue& queue, uint64_t number);

// Ends what is due and starts what has a place.
ServiceStep Advance(ServiceQueue& queue, TimePoint now);
std::optional<TimePoint> NextWakeup(const ServiceQueue& queue);

}  // namespace peridotmill::standin

#endif  // STANDINS_LOGIC_SERVICE_QUEUE_H_
