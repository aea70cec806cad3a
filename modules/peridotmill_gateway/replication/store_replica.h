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
#include "peridotmill_gateway/replication/prefix_image.h"
#include "peridotmill_gateway/replication/replica_message.h"
#include "peridotmill_gateway/store/prefix_follower.h"
#include "peridotmill_gateway/store/store_channel.h"
#include "peridotmill_gateway/store/store_recovery.h"

namespace peridotmill {

// What this node does with the replicated entries. Callbacks come from the main
// loop.
struct ReplicaConsumer {
  // All entries, which replace what was known. `was_unreachable` tells that the
  // store has just come back, so that entries may have lapsed meanwhile.
  std::function<
      void(ReplicaPart, const std::vector<StoreEntry>&, bool was_unreachable)>
      on_snapshot;
  std::function<void(ReplicaPart, const StoreChange&)> on_change;
};

// Is told of everything that the replica learns, to pass it on.
class ReplicaObserver {
 public:
  virtual ~ReplicaObserver() = default;
  // The first knowledge of a part.
  virtual void OnReplicaSnapshot(ReplicaPart part) = 0;
  // Begins at the latest revision that was told before.
  virtual void OnReplicaChanges(const ChangesMessage& message) = 0;
};

// This node's copy of the parts of the store that all nodes need. It follows
// the store itself while it is told to watch, and takes what other nodes pass
// on at any time; news from either side is applied only to a later revision.
class StoreReplica {
 public:
  struct Dependencies {
    const Clock& clock;
    TimerQueue& timers;
    StoreChannel& store;
    StoreRecovery& recovery;
    EventSink& log;
  };

  StoreReplica(const Dependencies& dependencies,
               const std::array<PrefixFollowerSettings, kReplicaPartCount>&
                   followed_prefixes,
               ReplicaConsumer consumer);

  // Whether this node follows the store itself.
  void set_watching(bool is_watching);
  bool is_watching() const { return is_watching_; }

  // Reads a part from the store again; a node that does not watch tells its
  // consumer what it knows by now.
  void ReadAgain(ReplicaPart part);
  // Reads the nodes from the store, whether this node watches or not, so that a
  // role can be chosen. Nothing else is read before set_watching.
  void ReadNodes();
  // Reads all parts again if this node watches.
  void ReadAllAgain();

  // From another node. Returns false if changes in between are missing, and the
  // sender must be asked for them.
  bool ApplyPeerChanges(const ChangesMessage& message);
  // The snapshot must be whole.
  void ApplyPeerSnapshot(const SnapshotMessage& message);
  // The store answered this node, or one whose knowledge has been applied here.
  void NoteContact(TimePoint contact);

  bool knows(ReplicaPart part) const { return image(part).revision > 0; }
  const PrefixImage& image(ReplicaPart part) const {
    return images_[static_cast<size_t>(part)];
  }
  // Up to where each part is known.
  ReplicaRevisions revisions() const;
  // Of the latest change of each part.
  ReplicaRevisions changed_revisions() const;
  // When the store last answered this node or the one that it learned from.
  std::optional<TimePoint> last_contact() const { return last_contact_; }
  // Entries may still be missing that lapsed while the store was away.
  bool is_after_outage(ReplicaPart part) const;

  void AddObserver(ReplicaObserver* observer) { observers_.insert(observer); }
  void RemoveObserver(ReplicaObserver* observer) { observers_.erase(observer); }

 private:
  void OnStoreSnapshot(ReplicaPart part,
                       const std::vector<StoreEntry>& entries,
                       bool was_unreachable);
  void OnStoreChanges(ReplicaPart part, const PrefixChanges& changes);
  void AdoptAndTell(ReplicaPart part,
                    int64_t revision,
                    const std::vector<StoreEntry>& entries,
                    bool was_unreachable);
  // Returns false if changes in between are missing.
  bool ApplyAndTell(const ChangesMessage& message);
  void Tell(const ChangesMessage& message);
  PrefixFollower& follower(ReplicaPart part) {
    return *followers_[static_cast<size_t>(part)];
  }
  PrefixImage& mutable_image(ReplicaPart part) {
    return images_[static_cast<size_t>(part)];
  }

  Dependencies dependencies_;
  ReplicaConsumer consumer_;
  std::array<PrefixImage, kReplicaPartCount> images_;
  // When the store had just come back, by part.
  std::array<std::optional<TimePoint>, kReplicaPartCount> outage_ended_;
  std::array<std::unique_ptr<PrefixFollower>, kReplicaPartCount> followers_;
  std::set<ReplicaObserver*> observers_;
  std::optional<TimePoint> last_contact_;
  bool is_watching_ = false;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REPLICATION_STORE_REPLICA_H_
