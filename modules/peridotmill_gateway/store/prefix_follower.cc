#include "peridotmill_gateway/store/prefix_follower.h"

#include <algorithm>
#include <utility>

namespace peridotmill {

PrefixFollower::PrefixFollower(PrefixFollowerSettings settings,
                               PrefixFollowerEvents events,
                               StoreChannel& store,
                               StoreRecovery& recovery,
                               TimerQueue& timers,
                               EventSink& log)
    : settings_(std::move(settings)),
      events_(std::move(events)),
      store_(store),
      recovery_(recovery),
      timers_(timers),
      log_(log) {}

void PrefixFollower::Start() {
  is_started_ = true;
  entries_.clear();
  Read("");
}

void PrefixFollower::Stop() {
  is_started_ = false;
  is_read_wanted_ = false;
  failures_ = 0;
  call_.reset();
  pause_timer_.reset();
  entries_.clear();
}

void PrefixFollower::Reload() {
  is_read_wanted_ = true;
  if (is_started_ && failures_ == 0) {
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
    RetryLater();
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
  const auto entries = std::exchange(entries_, {});
  events_.on_snapshot(entries, std::exchange(was_unreachable_, false));
  // The callback may have stopped the follower or begun another reading.
  if (is_started_ && call_ == nullptr) {
    Watch();
  }
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
    RetryLater();
    return;
  }
  NoteSuccess();
  const int64_t after = revision_;
  revision_ = std::max(revision_, changes.store_revision);
  events_.on_changes({.after_revision = after,
                      .revision = revision_,
                      .changes = changes.changes});
  if (!is_started_ || call_ != nullptr) {
    return;
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
  recovery_.NoteAnswer();
}

void PrefixFollower::RetryLater() {
  ++failures_;
  if (failures_ == 1) {
    log_.Write("store_lost", {{"prefix", settings_.prefix},
                              {"revision", std::to_string(revision_)}});
  }
  recovery_.Await([this] {
    if (is_started_ && call_ == nullptr) {
      Start();
    }
  });
}

}  // namespace peridotmill
