#ifndef PERIDOTMILL_GATEWAY_STORE_PREFIX_WATCHER_H_
#define PERIDOTMILL_GATEWAY_STORE_PREFIX_WATCHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/replication/prefix_state.h"
#include "peridotmill_gateway/store/store_channel.h"
#include "peridotmill_gateway/store/store_retry_queue.h"

namespace peridotmill {

struct PrefixWatcherSettings {
  std::string prefix;
  // Time for which a watch waits for changes. A store may leave a watch without
  // a response although there are changes; the next watch reports them.
  Duration watch_timeout = std::chrono::seconds(20);
  // Time between a watch's response with changes and the next watch. The
  // changes made meanwhile are reported by one response, so that a burst of
  // changes costs each node of a large fleet a few calls and not one for each
  // change.
  Duration watch_delay = Duration::zero();
};

// Callbacks of a PrefixWatcher, which run on the main loop.
struct PrefixWatcherCallbacks {
  // Called with all entries of the prefix, which replace the earlier ones.
  // `was_unreachable` means that a read has failed since the last snapshot.
  std::function<void(const std::vector<StoreEntry>&, bool was_unreachable)>
      on_snapshot;
  // Called with the changes since the last call of either callback. The list is
  // empty when a watch has timed out.
  std::function<void(const PrefixChanges&)> on_changes;
};

// Reads the keys of one prefix, then watches it for changes, and reads all keys
// again after a failure or when the store has compacted the changes it needs.
// The reads are linearizable.
class PrefixWatcher {
 public:
  PrefixWatcher(PrefixWatcherSettings settings,
                PrefixWatcherCallbacks callbacks,
                StoreChannel& store,
                StoreRetryQueue& retry_queue,
                TimerQueue& timers,
                EventSink& log);

  // Reads all keys and then watches for changes.
  void Start();
  // Cancels the open call and all timers.
  void Stop();
  // Reads all keys again. While the store is failing, the next retry does so
  // anyway.
  void Reload();

  bool is_started() const { return is_started_; }
  // Store revision up to which all entries and changes have been reported.
  int64_t revision() const { return revision_; }

 private:
  void ReadPage(const std::string& after_key);
  void OnPage(StorePage page);
  void Watch();
  void WatchAfterDelay();
  void OnChanges(const StoreChanges& changes);
  void RetryLater();
  void RecordSuccess();

  PrefixWatcherSettings settings_;
  PrefixWatcherCallbacks callbacks_;
  StoreChannel& store_;
  StoreRetryQueue& retry_queue_;
  TimerQueue& timers_;
  EventSink& log_;
  std::unique_ptr<StoreCallHandle> call_;
  // Delays the next watch.
  std::unique_ptr<Timer> watch_delay_timer_;
  // Entries of the pages read so far.
  std::vector<StoreEntry> pending_entries_;
  int64_t revision_ = 0;
  int consecutive_failures_ = 0;
  bool is_started_ = false;
  // Whether a read has failed since the last snapshot.
  bool was_unreachable_ = false;
  bool is_reload_requested_ = false;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STORE_PREFIX_WATCHER_H_
