#include "standins/peridotmill-standin/logic/service_queue.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace peridotmill::standin {
namespace {

Duration DrawTime(ServiceQueue& queue, double slow_factor) {
  constexpr double kZ95 = 1.6449;
  const auto median = static_cast<double>(queue.settings.median.count());
  const auto p95 = static_cast<double>(queue.settings.p95.count());
  const double sigma = std::log(std::max(p95 / median, 1.0)) / kZ95;
  const double radius = std::sqrt(-2 * std::log(1 - queue.random.Unit()));
  const double normal =
      radius * std::cos(2 * std::numbers::pi * queue.random.Unit());
  return Duration(static_cast<Duration::rep>(median * std::exp(sigma * normal) *
                                             slow_factor));
}

}  // namespace

bool Submit(ServiceQueue& queue, uint64_t number, double slow_factor) {
  const size_t open = queue.running.size() + queue.waiting.size();
  if (static_cast<int32_t>(open) >=
      queue.settings.concurrency + queue.settings.max_waiting) {
    return false;
  }
  queue.waiting.push_back({number, slow_factor});
  return true;
}

bool Withdraw(ServiceQueue& queue, uint64_t number) {
  return std::erase_if(queue.waiting,
                       [&](const ServiceQueue::Waiting& waiting) {
                         return waiting.number == number;
                       }) > 0;
}

ServiceStep Advance(ServiceQueue& queue, TimePoint now) {
  ServiceStep step;
  for (auto at = queue.running.begin(); at != queue.running.end();) {
    if (at->second > now) {
      ++at;
      continue;
    }
    step.finished.push_back(at->first);
    at = queue.running.erase(at);
  }
  while (!queue.waiting.empty() && static_cast<int32_t>(queue.running.size()) <
                                       queue.settings.concurrency) {
    const ServiceQueue::Waiting next = queue.waiting.front();
    queue.waiting.pop_front();
    queue.running[next.number] = now + DrawTime(queue, next.slow_factor);
    step.started.push_back(next.number);
  }
  return step;
}

std::optional<TimePoint> NextWakeup(const ServiceQueue& queue) {
  std::optional<TimePoint> next;
  for (const auto& [number, end] : queue.running) {
    if (!next || end < *next) {
      next = end;
    }
  }
  return next;
}

}  // namespace peridotmill::standin
