#ifndef PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_SOURCES_H_
#define PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_SOURCES_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/peers/node_directory.h"
#include "peridotmill_gateway/peers/peer_link.h"
#include "peridotmill_gateway/replication/replica_role.h"
#include "peridotmill_gateway/replication/replica_service.h"
#include "peridotmill_gateway/replication/store_replica.h"
#include "peridotmill_gateway/replication/value_fetcher.h"

namespace peridotmill {

// Subscribes this node's replica to other nodes, its sources, and decides when
// this node watches the store itself: if it is a watcher of its failure domain,
// while other nodes subscribe to it, or if no source has recent store contact
// and this node either has it or still lacks a part after the initial load
// timeout.
class ReplicaSources {
 public:
  struct Dependencies {
    const Clock& clock;
    TimerQueue& timers;
    PeerDialer& dialer;
    const NodeDirectory& nodes;
    StoreReplica& replica;
    const ReplicaService& service;
    EventSink& log;
    NodeId self;
    NodeRecord self_record;
    // Makes a call to the store to find out whether this node reaches it.
    std::function<void()> probe_store;
    // Reads the node registrations from the store again.
    std::function<void()> read_nodes;
  };

  explicit ReplicaSources(const Dependencies& dependencies);
  ~ReplicaSources();
  ReplicaSources(const ReplicaSources&) = delete;
  ReplicaSources& operator=(const ReplicaSources&) = delete;

  // Called when the node registrations were read or have changed. Starts the
  // regular evaluation of the sources, at first after kColdStartDelay if too
  // few other nodes are registered.
  void OnNodesChanged();
  // Called when the store has responded to this node, for example to a lease
  // renewal.
  void OnStoreResponded();
  // Called when a lease renewal of this node has failed after one that
  // succeeded.
  void OnStoreUnresponsive();
  // Called after this process was paused. Frames that arrived meanwhile have
  // not been read yet, so the frame timeouts of the sources start again.
  void OnProcessPaused();

  size_t source_count() const { return subscriptions_.size(); }
  // Returns whether a source has announced a configuration that this node does
  // not have yet.
  bool IsConfigurationOutdated() const;

 private:
  class Subscription;

  // Time for which a failed source is not used.
  struct SourceBackoff {
    TimePoint until;
    int consecutive_failures = 0;
  };

  void EvaluateSources();
  void UpdateSubscriptions();
  // Records since when no source has recent contact with the store, and then
  // probes the store.
  void UpdateStaleness();
  bool ShouldWatchStore() const;
  // Whether this node reaches the store and has reached it for long enough to
  // watch in place of the sources.
  bool HasSustainedStoreContact() const;
  bool HasAllParts() const;
  // Whether a source has sent a frame within the last kNextSourceDelay.
  bool IsReceivingFrames() const;
  size_t CountFreshSources() const;
  // Whether fewer than kMinPeersAtStart other nodes are registered.
  bool HasTooFewPeers() const;
  bool IsInBackoff(const NodeId& node) const;
  void OnFrame(Subscription& subscription, std::string_view frame);
  void OnSnapshot(Subscription& subscription, SnapshotMessage snapshot);
  void OnFreshness(Subscription& subscription,
                   const FreshnessMessage& freshness);
  // Applies an update whose values are all there, or begins to fetch the
  // omitted ones.
  void ReceiveUpdate(Subscription& subscription, ReplicaUpdate update);
  // Returns false if earlier changes are missing.
  bool ApplyUpdate(const ReplicaUpdate& update);
  // Applies an update whose omitted values were fetched.
  void OnUpdateFetched(const ReplicaUpdate& update);
  // Requests all that is newer than this node's copy.
  void Subscribe(Subscription& subscription);
  // Closes the subscription to a node and starts the node's backoff. Takes the
  // id by value, since the subscription's own copy is destroyed with it.
  // NOLINTNEXTLINE(performance-unnecessary-value-param)
  void DropSource(NodeId node, std::string_view reason);

  Dependencies dependencies_;
  ReplicaRole role_;
  bool is_role_outdated_ = false;
  std::map<NodeId, std::unique_ptr<Subscription>> subscriptions_;
  std::map<NodeId, SourceBackoff> backoffs_;
  // Only configurations have values that are omitted.
  ValueFetcher configuration_fetcher_;
  // When the store last responded to this node, and since when it has done so
  // without a failure.
  std::optional<TimePoint> own_store_contact_;
  std::optional<TimePoint> own_store_contact_since_;
  // Since when no source has recent contact with the store.
  std::optional<TimePoint> stale_since_;
  // Since when this node watches although no reason to watch is left.
  std::optional<TimePoint> unneeded_watch_since_;
  // Delays the first role while the other nodes of a fleet that is starting
  // register.
  std::unique_ptr<Timer> cold_start_timer_;
  bool has_waited_for_registrations_ = false;
  // When the sources were first evaluated.
  std::optional<TimePoint> first_evaluation_;
  std::unique_ptr<Timer> evaluation_timer_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_SOURCES_H_
