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
  // The sender fetches values that are omitted from updates.
  bool accepts_omitted_values = false;
};

// One version of an entry's value.
struct ValueVersion {
  ReplicaPart part = ReplicaPart::kConfiguration;
  std::string key;
  int64_t mod_revision = 0;

  bool operator==(const ValueVersion&) const = default;
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
  // The entries that were sent without their values.
  std::vector<ValueVersion> omitted_values;
};

struct ChangesMessage {
  ReplicaPart part = ReplicaPart::kConfiguration;
  PrefixChanges changes;
  // The store has just become reachable again, so removals may be entries whose
  // leases expired during the outage.
  bool is_after_outage = false;
  // The entries that were sent without their values.
  std::vector<ValueVersion> omitted_values;
};

// Requests a range of the transfer of a value. A transfer is the compressed
// difference between the value and the version that the receiver has.
struct FetchValueMessage {
  ValueVersion version;
  // The version that the receiver has; 0 if none.
  int64_t base_revision = 0;
  uint32_t offset = 0;
  uint32_t size = 0;
};

// A range of a transfer.
struct ValueChunkMessage {
  ValueVersion version;
  // The version that the transfer is a difference to; 0 if the sender does not
  // have the version that the receiver named.
  int64_t base_revision = 0;
  // Identifies the bytes of the transfer, which may differ between nodes.
  uint64_t transfer_digest = 0;
  // Size of the whole transfer; 0 if the sender does not have this version.
  uint32_t transfer_size = 0;
  uint32_t offset = 0;
  std::string bytes;
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
                                    FreshnessMessage,
                                    FetchValueMessage,
                                    ValueChunkMessage>;

// Encodes a message. Omits the values of entries that are longer than
// `max_value_bytes`.
std::string EncodeReplicaMessage(const ReplicaMessage& message,
                                 size_t max_value_bytes = SIZE_MAX);

// Errors: kMalformed.
Result<ReplicaMessage> DecodeReplicaMessage(std::string_view bytes);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_MESSAGE_H_
