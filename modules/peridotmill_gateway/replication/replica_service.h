#ifndef PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_SERVICE_H_
#define PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_SERVICE_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/peers/peer_link.h"
#include "peridotmill_gateway/replication/store_replica.h"

namespace peridotmill {

// Passes the contents of this node's replica on to the nodes that subscribe.
class ReplicaService final : public ReplicaObserver {
 public:
  // Makes the accepted link with its listener.
  using LinkMaker =
      std::function<std::unique_ptr<PeerLink>(PeerLinkListener* listener)>;

  ReplicaService(StoreReplica& replica,
                 const Clock& clock,
                 TimerQueue& timers,
                 EventSink& log);
  ~ReplicaService() override;
  ReplicaService(const ReplicaService&) = delete;
  ReplicaService& operator=(const ReplicaService&) = delete;

  void Accept(const LinkMaker& make_link);

  // Nodes that have subscribed.
  size_t subscriber_count() const;
  // Links closed because of a frame that cannot be read.
  uint64_t malformed_count() const { return malformed_; }

 private:
  class Session;

  void OnReplicaSnapshot(ReplicaPart part) override;
  void OnReplicaChanges(const ChangesMessage& message) override;
  // Made once for all nodes that need them.
  const std::vector<std::string>& SnapshotFrames(ReplicaPart part);
  void SendToSubscribers(const std::string& frame);
  void OnMalformed(Session* session);
  void Release(Session* session);
  // Tells all subscribers how fresh this node's knowledge is.
  void ReportFreshness();
  std::string FreshnessFrame() const;

  StoreReplica& replica_;
  const Clock& clock_;
  TimerQueue& timers_;
  EventSink& log_;
  std::map<Session*, std::unique_ptr<Session>> sessions_;
  struct CachedSnapshot {
    int64_t changed_revision = 0;
    bool is_after_outage = false;
    std::vector<std::string> frames;
  };
  std::array<CachedSnapshot, kReplicaPartCount> snapshots_;
  std::unique_ptr<Timer> report_timer_;
  uint64_t malformed_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_SERVICE_H_
