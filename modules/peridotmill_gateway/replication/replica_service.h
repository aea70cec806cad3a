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
#include "peridotmill_gateway/replication/value_transfer.h"

namespace peridotmill {

// Sends snapshots and changes of this node's replica to the nodes that
// subscribe to it. Large values are omitted from both and sent in ranges when
// the subscriber requests them.
class ReplicaService final : public ReplicaObserver {
 public:
  // Returns the accepted link, which reports to the given listener.
  using LinkMaker =
      std::function<std::unique_ptr<PeerLink>(PeerLinkListener* listener)>;

  ReplicaService(StoreReplica& replica,
                 const Clock& clock,
                 TimerQueue& timers,
                 EventSink& log);
  ~ReplicaService() override;
  ReplicaService(const ReplicaService&) = delete;
  ReplicaService& operator=(const ReplicaService&) = delete;

  // Adds an incoming link, or closes it if too many are open.
  void Accept(const LinkMaker& make_link);

  // Number of links whose node has subscribed.
  size_t subscriber_count() const;
  // Number of links closed because of a malformed frame.
  uint64_t malformed_frame_count() const { return malformed_frames_; }

 private:
  class Session;

  void OnReplicaSnapshot(ReplicaPart part) override;
  void OnReplicaChanges(const ChangesMessage& message) override;
  // Returns the encoded snapshot, which is cached until the part changes.
  // Values that are longer than `max_value_bytes` are omitted.
  const std::vector<std::string>& SnapshotFrames(ReplicaPart part,
                                                 size_t max_value_bytes);
  // Sends an update to all subscribers in the form that each of them accepts.
  void SendToSubscribers(const ReplicaMessage& message);
  // Returns the frames of a range of a value's transfer.
  std::vector<std::string> TransferFrames(const FetchValueMessage& request);
  void OnMalformedFrame(Session* session);
  void CloseSession(Session* session);
  // Starts the regular freshness reports to all subscribers unless they are
  // running.
  void ScheduleFreshnessReport();
  std::string EncodeFreshness() const;

  StoreReplica& replica_;
  const Clock& clock_;
  TimerQueue& timers_;
  EventSink& log_;
  std::map<Session*, std::unique_ptr<Session>> sessions_;
  struct CachedSnapshot {
    int64_t last_change_revision = 0;
    bool is_after_outage = false;
    std::vector<std::string> frames;
  };
  // By the maximum size of values that are not omitted.
  std::array<std::map<size_t, CachedSnapshot>, kReplicaPartCount> snapshots_;
  ValueTransferCache transfers_;
  std::unique_ptr<Timer> freshness_report_timer_;
  uint64_t malformed_frames_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_SERVICE_H_
