#ifndef PERIDOTMILL_GATEWAY_REPLICATION_STORE_REPLICA_H_
#define PERIDOTMILL_GATEWAY_REPLICATION_STORE_REPLICA_H_

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/replication/prefix_state.h"
#include "peridotmill_gateway/replication/replica_message.h"
#include "peridotmill_gateway/store/prefix_watcher.h"
#include "peridotmill_gateway/store/store_channel.h"
#include "peridotmill_gateway/store/store_retry_queue.h"

namespace peridotmill {

// Receives the replicated entries on this node. The callbacks run on the main
// loop.
struct ReplicaConsumer {
  // Called with all entries of a part, which replace the earlier ones.
  // `was_unreachable` means that the store has just become reachable again, so
  // leases of missing entries may have expired during the outage.
  std::function<
      void(ReplicaPart, const std::vector<StoreEntry>&, bool was_unreachable)>
      on_snapshot;
  // Called with one change of a part.
  std::function<void(ReplicaPart, const StoreChange&)> on_change;
};

// Observes all updates of a StoreReplica.
class ReplicaObserver {
 public:
  virtual ~ReplicaObserver() = default;
  // Called after the first snapshot of a part.
  virtual void OnReplicaSnapshot(ReplicaPart part) = 0;
  // Called after later updates. The changes begin at the revision of the update
  // that was reported before.
  virtual void OnReplicaChanges(const ChangesMessage& message) = 0;
};

// This node's copy of the parts of the store that all nodes need. It watches
// the store while watching is on, and accepts updates from other nodes at any
// time. Updates from either side never take it back to an earlier revision.
class StoreReplica {
 public:
  struct Dependencies {
    const Clock& clock;
    TimerQueue& timers;
    StoreChannel& store;
    StoreRetryQueue& retry_queue;
    EventSink& log;
  };

  StoreReplica(const Dependencies& dependencies,
               const std::array<PrefixWatcherSettings, kReplicaPartCount>&
                   watched_prefixes,
               ReplicaConsumer consumer);

  // Turns this node's own watches of the store on or off.
  void set_watching(bool is_watching);
  bool is_watching() const { return is_watching_; }

  // Reads a part from the store again. If this node does not watch, calls
  // on_snapshot with the current copy instead.
  void Reload(ReplicaPart part);
  // Reads the node registrations from the store, whether this node watches or
  // not; its role is computed from them. No other part is read before
  // set_watching(true).
  void ReadNodes();
  // Reads all parts again if this node watches.
  void ReloadAll();

  // Applies changes from another node. Returns false if earlier changes are
  // missing; the caller must then subscribe again.
  bool ApplyPeerChanges(const ChangesMessage& message);
  // Applies a snapshot from another node, with the entries of all its frames.
  void ApplyPeerSnapshot(const SnapshotMessage& message);
  // Records when the store responded to this node, or to a node whose updates
  // have been applied here.
  void RecordStoreContact(TimePoint contact);

  // Whether a snapshot of the part has been applied.
  bool is_loaded(ReplicaPart part) const { return state(part).revision > 0; }
  const PrefixState& state(ReplicaPart part) const {
    return states_[static_cast<size_t>(part)];
  }
  // Store revision up to which each part is complete.
  ReplicaRevisions revisions() const;
  // Store revision of the latest change of each part.
  ReplicaRevisions last_change_revisions() const;
  // When the store last responded to this node, or to a node whose updates have
  // been applied here.
  std::optional<TimePoint> last_store_contact() const {
    return last_store_contact_;
  }
  // Whether an outage of the store ended less than kReregistrationGrace ago, so
  // that entries whose leases expired during it may not be registered again
  // yet.
  bool is_after_outage(ReplicaPart part) const;

  void AddObserver(ReplicaObserver* observer) { observers_.insert(observer); }
  void RemoveObserver(ReplicaObserver* observer) { observers_.erase(observer); }

 private:
  void OnStoreSnapshot(ReplicaPart part,
                       const std::vector<StoreEntry>& entries,
                       bool was_unreachable);
  void OnStoreChanges(ReplicaPart part, const PrefixChanges& changes);
  void ApplySnapshotAndNotify(ReplicaPart part,
                              int64_t revision,
                              const std::vector<StoreEntry>& entries,
                              bool was_unreachable);
  // Returns false if earlier changes are missing.
  bool ApplyChangesAndNotify(const ChangesMessage& message);
  void NotifyObservers(const ChangesMessage& message);
  PrefixWatcher& watcher(ReplicaPart part) {
    return *watchers_[static_cast<size_t>(part)];
  }
  PrefixState& mutable_state(ReplicaPart part) {
    return states_[static_cast<size_t>(part)];
  }

  Dependencies dependencies_;
  ReplicaConsumer consumer_;
  std::array<PrefixState, kReplicaPartCount> states_;
  // When the latest outage of the store ended, for each part.
  std::array<std::optional<TimePoint>, kReplicaPartCount> outage_end_times_;
  std::array<std::unique_ptr<PrefixWatcher>, kReplicaPartCount> watchers_;
  std::set<ReplicaObserver*> observers_;
  std::optional<TimePoint> last_store_contact_;
  bool is_watching_ = false;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REPLICATION_STORE_REPLICA_H_
