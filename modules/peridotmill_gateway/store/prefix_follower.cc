#include "peridotmill_gateway/store/prefix_follower.h"

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

PrefixFollower::PrefixFollower(PrefixFollowerSettings settings,
                               PrefixFollowerEvents events,
                               StoreChannel& store,
                               TimerQueue& timers,
                               EventSink& log,
                               uint64_t seed)
    : settings_(std::move(settings)),
      events_(std::move(events)),
      store_(store),
      timers_(timers),
      log_(log),
      random_(seed) {}

void PrefixFollower::Start() {
  entries_.clear();
  Read("");
}

void PrefixFollower::ReadAgain() {
  is_read_wanted_ = true;
  if (failures_ == 0) {
    // Replaces the waiting watch.
    Start();
  }
}

void PrefixFollower::Read(const std::string& after_key) {
  is_read_wanted_ = false;
  pause_timer_.reset();
  call_ =
      store_.ReadPrefix(settings_.prefix, after_key,
                        [this](StorePage page) { OnPage(std::move(page)); });
}

void PrefixFollower::OnPage(StorePage page) {
  call_.reset();
  if (page.status != StoreCallStatus::kOk) {
    was_unreachable_ = true;
    RetryLater([this] { Start(); });
    return;
  }
  NoteSuccess();
  // Changes made while later pages are read are seen by the watch.
  if (entries_.empty()) {
    revision_ = page.store_revision;
  }
  std::move(page.entries.begin(), page.entries.end(),
            std::back_inserter(entries_));
  if (page.has_more && !entries_.empty()) {
    const std::string last = entries_.back().key;
    Read(last);
    return;
  }
  has_snapshot_ = true;
  const auto entries = std::exchange(entries_, {});
  events_.on_snapshot(entries, std::exchange(was_unreachable_, false));
  Watch();
}

void PrefixFollower::Watch() {
  call_ = store_.WatchPrefix(
      settings_.prefix, revision_, settings_.watch_wait,
      [this](const StoreChanges& changes) { OnChanges(changes); });
}

void PrefixFollower::OnChanges(const StoreChanges& changes) {
  call_.reset();
  if (changes.status == StoreCallStatus::kHistoryGone) {
    log_.Write("store_history_gone", {{"prefix", settings_.prefix},
                                      {"revision", std::to_string(revision_)}});
    Start();
    return;
  }
  if (changes.status != StoreCallStatus::kOk) {
    // A watch that was cut may have missed changes that the store no longer
    // keeps, and would not tell before the next change.
    RetryLater([this] { Start(); });
    return;
  }
  NoteSuccess();
  revision_ = std::max(revision_, changes.store_revision);
  for (const StoreChange& change : changes.changes) {
    events_.on_change(change);
  }
  if (is_read_wanted_) {
    Start();
    return;
  }
  // An answer without changes ends a wait that has run out.
  if (changes.changes.empty()) {
    Watch();
  } else {
    WatchAfterPause();
  }
}

void PrefixFollower::WatchAfterPause() {
  if (settings_.pause == Duration::zero()) {
    Watch();
    return;
  }
  pause_timer_ = timers_.After(settings_.pause, [this] { Watch(); });
}

void PrefixFollower::NoteSuccess() {
  if (failures_ > 0) {
    log_.Write("store_regained", {{"prefix", settings_.prefix},
                                  {"failures", std::to_string(failures_)}});
  }
  failures_ = 0;
}

void PrefixFollower::RetryLater(std::function<void()> action) {
  ++failures_;
  if (failures_ == 1) {
    log_.Write("store_lost", {{"prefix", settings_.prefix},
                              {"revision", std::to_string(revision_)}});
  }
  const int doublings = std::min(failures_ - 1, kMaxDoublings);
  const Duration pause =
      std::min<Duration>(kFirstPause * (1 << doublings), kLongestPause);
  // Nodes that lost the store together return spread out.
  const auto jittered = std::chrono::duration_cast<Duration>(
      pause * (0.5 + 0.5 * random_.Unit()));
  pause_timer_ =
      timers_.After(jittered, [action = std::move(action)] { action(); });
}

}  // namespace peridotmill
