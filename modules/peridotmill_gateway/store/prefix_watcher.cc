#include "peridotmill_gateway/store/prefix_watcher.h"

#include <algorithm>
#include <utility>

#include "peridotmill_gateway/store/store_position.h"

namespace peridotmill {

PrefixWatcher::PrefixWatcher(PrefixWatcherSettings settings,
                             PrefixWatcherCallbacks callbacks,
                             StoreChannel& store,
                             StoreRetryQueue& retry_queue,
                             TimerQueue& timers,
                             EventSink& log)
    : settings_(std::move(settings)),
      callbacks_(std::move(callbacks)),
      store_(store),
      retry_queue_(retry_queue),
      timers_(timers),
      log_(log) {}

void PrefixWatcher::Start() {
  is_started_ = true;
  pending_entries_.clear();
  ReadPage("");
}

void PrefixWatcher::Stop() {
  is_started_ = false;
  is_reload_requested_ = false;
  consecutive_failures_ = 0;
  call_.reset();
  watch_delay_timer_.reset();
  pending_entries_.clear();
}

void PrefixWatcher::Reload() {
  is_reload_requested_ = true;
  if (is_started_ && consecutive_failures_ == 0) {
    // Cancels the waiting watch.
    Start();
  }
}

void PrefixWatcher::ReadPage(const std::string& after_key) {
  is_reload_requested_ = false;
  watch_delay_timer_.reset();
  call_ =
      store_.ReadPrefix(settings_.prefix, after_key,
                        [this](StorePage page) { OnPage(std::move(page)); });
}

void PrefixWatcher::OnPage(StorePage page) {
  call_.reset();
  if (page.status != StoreCallStatus::kOk) {
    was_unreachable_ = true;
    RetryLater();
    return;
  }
  RecordSuccess();
  const bool is_restored =
      revision_ > 0 && StoreEraOf(page.store_revision) != StoreEraOf(revision_);
  if (is_restored) {
    // What was written since the copy may be missing until it is written again,
    // like what expired in an outage.
    was_unreachable_ = true;
    log_.Write(
        "store_restored",
        {{"prefix", settings_.prefix},
         {"era", std::to_string(StoreEraOf(page.store_revision))},
         {"earlier_era", std::to_string(StoreEraOf(revision_))},
         {"revision", std::to_string(StoreRevisionOf(page.store_revision))}});
  }
  if (is_restored && !pending_entries_.empty()) {
    revision_ = page.store_revision;
    Start();
    return;
  }
  // The watch starts at the first page's revision, so that it reports the
  // changes made while later pages are read.
  if (pending_entries_.empty()) {
    revision_ = page.store_revision;
  }
  std::move(page.entries.begin(), page.entries.end(),
            std::back_inserter(pending_entries_));
  if (page.has_more && !pending_entries_.empty()) {
    const std::string last_key = pending_entries_.back().key;
    ReadPage(last_key);
    return;
  }
  const auto entries = std::exchange(pending_entries_, {});
  callbacks_.on_snapshot(entries, std::exchange(was_unreachable_, false));
  // The callback may have stopped this object or started another read.
  if (is_started_ && call_ == nullptr) {
    Watch();
  }
}

void PrefixWatcher::Watch() {
  call_ = store_.WatchPrefix(
      settings_.prefix, revision_, settings_.watch_timeout,
      [this](const StoreChanges& changes) { OnChanges(changes); });
}

void PrefixWatcher::OnChanges(const StoreChanges& changes) {
  call_.reset();
  if (changes.status == StoreCallStatus::kCompacted) {
    log_.Write("store_history_gone", {{"prefix", settings_.prefix},
                                      {"revision", std::to_string(revision_)}});
    Start();
    return;
  }
  if (changes.status != StoreCallStatus::kOk) {
    // The failed watch may have missed changes that the store has compacted
    // since. A new watch would report that only at the next change.
    RetryLater();
    return;
  }
  RecordSuccess();
  if (StoreEraOf(changes.store_revision) != StoreEraOf(revision_)) {
    // The watch began at a revision that was given out again.
    Start();
    return;
  }
  const int64_t after_revision = revision_;
  revision_ = std::max(revision_, changes.store_revision);
  callbacks_.on_changes({.after_revision = after_revision,
                         .revision = revision_,
                         .changes = changes.changes});
  if (!is_started_ || call_ != nullptr) {
    return;
  }
  if (is_reload_requested_) {
    Start();
    return;
  }
  // A response without changes means that the watch has timed out.
  if (changes.changes.empty()) {
    Watch();
  } else {
    WatchAfterDelay();
  }
}

void PrefixWatcher::WatchAfterDelay() {
  if (settings_.watch_delay == Duration::zero()) {
    Watch();
    return;
  }
  watch_delay_timer_ =
      timers_.After(settings_.watch_delay, [this] { Watch(); });
}

void PrefixWatcher::RecordSuccess() {
  if (consecutive_failures_ > 0) {
    log_.Write("store_regained",
               {{"prefix", settings_.prefix},
                {"failures", std::to_string(consecutive_failures_)}});
  }
  consecutive_failures_ = 0;
  retry_queue_.OnStoreResponded();
}

void PrefixWatcher::RetryLater() {
  ++consecutive_failures_;
  if (consecutive_failures_ == 1) {
    log_.Write("store_lost", {{"prefix", settings_.prefix},
                              {"revision", std::to_string(revision_)}});
  }
  retry_queue_.Enqueue([this] {
    if (is_started_ && call_ == nullptr) {
      Start();
    }
  });
}

}  // namespace peridotmill
