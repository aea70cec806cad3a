#ifndef PERIDOTMILL_GATEWAY_REPLICATION_VALUE_FETCHER_H_
#define PERIDOTMILL_GATEWAY_REPLICATION_VALUE_FETCHER_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/replication/prefix_state.h"
#include "peridotmill_gateway/replication/replica_message.h"

namespace peridotmill {

// An update from another node.
using ReplicaUpdate = std::variant<SnapshotMessage, ChangesMessage>;

ReplicaPart UpdatePart(const ReplicaUpdate& update);
int64_t UpdateRevision(const ReplicaUpdate& update);

// Fetches the values that were omitted from an update, one range after another,
// so that the sender never queues more than a few ranges. A fetch is not
// abandoned for a newer version, since that one may be replaced as well before
// it arrives. When a source makes no progress, the rest is fetched from another
// one. A fetch that no source can finish ends; the update is announced again
// with the next freshness report.
class ValueFetcher {
 public:
  struct Callbacks {
    // Returns the nodes from which values can be fetched.
    std::function<std::vector<NodeId>()> sources;
    std::function<void(const NodeId&, const FetchValueMessage&)> send;
    // The update has all its values.
    std::function<void(ReplicaUpdate)> on_complete;
  };

  // `state` is the node's copy of the part, whose values serve as bases.
  ValueFetcher(const Clock& clock,
               EventSink& log,
               const PrefixState& state,
               Callbacks callbacks);

  // Takes the values that this node has from its state, and fetches the others
  // from `source`.
  // @pre !is_fetching()
  void Start(ReplicaUpdate update, const NodeId& source);
  void OnChunk(const ValueChunkMessage& chunk);
  // Goes on with another source if the fetch makes no progress, and ends it if
  // the state has become as new by other means. Called regularly.
  void CheckProgress();

  bool is_fetching() const { return fetch_.has_value(); }
  // Store revision of the update that is being completed.
  // @pre is_fetching()
  int64_t revision() const { return UpdateRevision(fetch_->update); }

 private:
  struct Fetch {
    ReplicaUpdate update;
    NodeId source;
    // Version whose value is being fetched.
    ValueVersion version;
    // The version that the sources are told to use as a base; 0 for none.
    int64_t requested_base = 0;
    uint64_t transfer_digest = 0;
    std::string received;
    size_t requested_bytes = 0;
    TimePoint last_progress;
    Duration progress_timeout;
  };

  // Fetches the next omitted value, or completes the update.
  void FetchNextValue();
  void Restart(int64_t requested_base);
  void RequestUpTo(size_t end);
  void OnTransferReceived(int64_t base_revision);
  const Clock& clock_;
  EventSink& log_;
  const PrefixState& state_;
  Callbacks callbacks_;
  std::optional<Fetch> fetch_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REPLICATION_VALUE_FETCHER_H_
