#ifndef PERIDOTMILL_GATEWAY_STORE_PREFIX_FOLLOWER_H_
#define PERIDOTMILL_GATEWAY_STORE_PREFIX_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/replication/prefix_state.h"
#include "peridotmill_gateway/store/store_channel.h"
#include "peridotmill_gateway/store/store_recovery.h"

namespace peridotmill {

struct PrefixFollowerSettings {
  std::string prefix;
  // How long a watch waits for changes. A store may leave a watch without an
  // answer although there are changes; the next one brings them.
  Duration watch_wait = std::chrono::seconds(20);
  // Time between the answer to a watch and the next watch. Changes that come
  // meanwhile share one answer, so that a burst of changes costs a large fleet
  // a few calls a node and not one for each change.
  Duration pause = Duration::zero();
};

// What a follower reports. Callbacks come from the main loop.
struct PrefixFollowerEvents {
  // All entries as of one reading, which replace what was known.
  // `was_unreachable` tells that the store had not answered before it.
  std::function<void(const std::vector<StoreEntry>&, bool was_unreachable)>
      on_snapshot;
  // Everything that has changed since the last call of either kind; no changes
  // when a watch has run out.
  std::function<void(const PrefixChanges&)> on_changes;
};

// Keeps up with the keys of one prefix: reads them, then watches for changes,
// and reads again when the history has gaps. The reads are linearizable.
class PrefixFollower {
 public:
  PrefixFollower(PrefixFollowerSettings settings,
                 PrefixFollowerEvents events,
                 StoreChannel& store,
                 StoreRecovery& recovery,
                 TimerQueue& timers,
                 EventSink& log);

  void Start();
  // Gives up following until the next Start.
  void Stop();
  // Reads all keys again at the next opportunity.
  void Reload();

  bool is_started() const { return is_started_; }
  // Everything up to this store revision has been reported.
  int64_t revision() const { return revision_; }

 private:
  void Read(const std::string& after_key);
  void OnPage(StorePage page);
  void Watch();
  void WatchAfterPause();
  void OnChanges(const StoreChanges& changes);
  void RetryLater();
  void NoteSuccess();

  PrefixFollowerSettings settings_;
  PrefixFollowerEvents events_;
  StoreChannel& store_;
  StoreRecovery& recovery_;
  TimerQueue& timers_;
  EventSink& log_;
  std::unique_ptr<OpenStoreCall> call_;
  // The pause before the next watch.
  std::unique_ptr<Timer> pause_timer_;
  std::vector<StoreEntry> entries_;
  int64_t revision_ = 0;
  int failures_ = 0;
  bool is_started_ = false;
  // A whole reading has failed since the last snapshot.
  bool was_unreachable_ = false;
  bool is_read_wanted_ = false;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STORE_PREFIX_FOLLOWER_H_
