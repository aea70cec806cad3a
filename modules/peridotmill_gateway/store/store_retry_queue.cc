#include "peridotmill_gateway/store/store_retry_queue.h"

#include <algorithm>
#include <utility>

namespace peridotmill {
namespace {

// Delay of the first retry after a failed call. It doubles up to the maximum,
// which keeps the time to detect the end of an outage well below a second.
constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(30);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(700);
constexpr int kMaxBackoffDoublings = 5;

}  // namespace

StoreRetryQueue::StoreRetryQueue(TimerQueue& timers, uint64_t seed)
    : timers_(timers), random_(seed) {}

void StoreRetryQueue::Enqueue(std::function<void()> action) {
  queued_actions_.push_back(std::move(action));
  if (retry_timer_ == nullptr) {
    ScheduleRetry();
  }
}

void StoreRetryQueue::ScheduleRetry() {
  const int doublings = std::min(retry_count_, kMaxBackoffDoublings);
  ++retry_count_;
  const Duration delay =
      std::min<Duration>(kInitialRetryDelay * (1 << doublings), kMaxRetryDelay);
  // The jitter spreads the retries of nodes that lost the store at once.
  const auto jittered_delay = std::chrono::duration_cast<Duration>(
      delay * (0.5 + 0.5 * random_.Unit()));
  retry_timer_ = timers_.After(jittered_delay, [this] {
    retry_timer_.reset();
    const auto action = std::move(queued_actions_.front());
    queued_actions_.erase(queued_actions_.begin());
    action();
  });
}

void StoreRetryQueue::OnStoreResponded() {
  retry_count_ = 0;
  retry_timer_.reset();
  for (const auto& action : std::exchange(queued_actions_, {})) {
    action();
  }
}

}  // namespace peridotmill
