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

namespace peridotmill {

// Subscribes this node's replica to other nodes, and decides when it watches
// the store itself: as one of its failure domain's watchers, while others
// depend on it, or when no source is in touch with the store but this node is.
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
    // Asks the store for any answer, to learn whether this node reaches it.
    std::function<void()> probe_store;
    // Reads the nodes from the store again.
    std::function<void()> read_nodes;
  };

  explicit ReplicaSources(const Dependencies& dependencies);
  ~ReplicaSources();
  ReplicaSources(const ReplicaSources&) = delete;
  ReplicaSources& operator=(const ReplicaSources&) = delete;

  // The nodes are known; follows them from now on.
  void OnNodesChanged();
  // The store has answered this node, if only to renew its lease.
  void NoteOwnContact();
  void NoteOwnSilence();
  // This process was paused; what sources sent meanwhile is still to be read.
  void NotePause();

  size_t link_count() const { return links_.size(); }

 private:
  class Link;

  // A node that did not answer.
  struct Exclusion {
    TimePoint until;
    int failures_in_row = 0;
  };

  void Review();
  void ChooseLinks();
  // Notes since when no source is in touch with the store, and asks the store.
  void NoteStaleness();
  bool MustWatch() const;
  bool OwnContactHolds() const;
  bool KnowsAllParts() const;
  // A source has sent something a moment ago.
  bool IsHearing() const;
  size_t FreshLinks() const;
  // Hardly any other node is known.
  bool IsAlone() const;
  bool IsExcluded(const NodeId& node) const;
  void OnFrame(Link& link, std::string_view frame);
  // The name is a copy, since the link's own goes with the link.
  // NOLINTNEXTLINE(performance-unnecessary-value-param)
  void DropLink(NodeId node, std::string_view reason);

  Dependencies dependencies_;
  ReplicaRole role_;
  bool is_role_outdated_ = false;
  std::map<NodeId, std::unique_ptr<Link>> links_;
  std::map<NodeId, Exclusion> exclusions_;
  // When the store last answered this node, and since when without a failure.
  std::optional<TimePoint> own_contact_;
  std::optional<TimePoint> own_contact_since_;
  // Since when no source is in touch with the store.
  std::optional<TimePoint> stale_since_;
  // Since when the reason to watch is gone.
  std::optional<TimePoint> idle_since_;
  // Runs while a fleet that starts together registers.
  std::unique_ptr<Timer> cold_start_timer_;
  bool has_waited_for_others_ = false;
  // When a role was first chosen.
  std::optional<TimePoint> started_;
  std::unique_ptr<Timer> review_timer_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_SOURCES_H_
