#include "peridotmill_gateway/store/store_recovery.h"

#include <algorithm>
#include <utility>

namespace peridotmill {
namespace {

// First pause after a failed call; doubled up to the longest one. The longest
// one keeps the time to notice the store's return well below a second.
constexpr Duration kFirstPause = std::chrono::milliseconds(30);
constexpr Duration kLongestPause = std::chrono::milliseconds(700);
constexpr int kMaxDoublings = 5;

}  // namespace

StoreRecovery::StoreRecovery(TimerQueue& timers, uint64_t seed)
    : timers_(timers), random_(seed) {}

void StoreRecovery::Await(std::function<void()> action) {
  waiting_.push_back(std::move(action));
  if (timer_ == nullptr) {
    ScheduleProbe();
  }
}

void StoreRecovery::ScheduleProbe() {
  const int doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  const Duration pause =
      std::min<Duration>(kFirstPause * (1 << doublings), kLongestPause);
  // Nodes that lost the store together return spread out.
  const auto jittered = std::chrono::duration_cast<Duration>(
      pause * (0.5 + 0.5 * random_.Unit()));
  timer_ = timers_.After(jittered, [this] {
    timer_.reset();
    const auto action = std::move(waiting_.front());
    waiting_.erase(waiting_.begin());
    action();
  });
}

void StoreRecovery::NoteAnswer() {
  failures_ = 0;
  timer_.reset();
  for (const auto& action : std::exchange(waiting_, {})) {
    action();
  }
}

}  // namespace peridotmill
