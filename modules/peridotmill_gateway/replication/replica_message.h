#ifndef PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_MESSAGE_H_
#define PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_MESSAGE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/replication/prefix_state.h"

namespace peridotmill {

// The key prefixes of the store that nodes replicate: the gateway
// configuration, the endpoint registrations and the node registrations. The
// numeric values are part of the wire format.
enum class ReplicaPart : uint8_t { kConfiguration, kRegistrations, kNodes };
inline constexpr size_t kReplicaPartCount = 3;

// A store revision for each part; 0 for a part without a snapshot.
using ReplicaRevisions = std::array<int64_t, kReplicaPartCount>;

// Requests everything newer than the given revisions, and all later changes.
struct SubscribeMessage {
  ReplicaRevisions revisions = {};
};

// One frame of a snapshot, with some or all entries of a part. `is_last` marks
// the snapshot's last frame.
struct SnapshotMessage {
  ReplicaPart part = ReplicaPart::kConfiguration;
  int64_t revision = 0;
  // The store has just become reachable again, so leases of missing entries may
  // have expired during the outage.
  bool is_after_outage = false;
  bool is_last = true;
  std::vector<StoreEntry> entries;
};

struct ChangesMessage {
  ReplicaPart part = ReplicaPart::kConfiguration;
  PrefixChanges changes;
  // The store has just become reachable again, so removals may be entries whose
  // leases expired during the outage.
  bool is_after_outage = false;
};

// Sent regularly to subscribers: the revision of the sender's latest change of
// each part, and the time since the store last responded to the sender or to
// the node that the sender received its data from.
struct FreshnessMessage {
  ReplicaRevisions revisions = {};
  Duration store_contact_age = Duration::max();
};

using ReplicaMessage = std::variant<SubscribeMessage,
                                    SnapshotMessage,
                                    ChangesMessage,
                                    FreshnessMessage>;

std::string EncodeReplicaMessage(const ReplicaMessage& message);

// Errors: kMalformed.
Result<ReplicaMessage> DecodeReplicaMessage(std::string_view bytes);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_MESSAGE_H_
