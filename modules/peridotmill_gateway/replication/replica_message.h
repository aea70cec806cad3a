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
#include "peridotmill_gateway/replication/prefix_image.h"

namespace peridotmill {

// The prefixes of the store that nodes replicate.
enum class ReplicaPart : uint8_t { kConfiguration, kRegistrations, kNodes };
inline constexpr size_t kReplicaPartCount = 3;

// Store revision up to which each part is known; 0 if it is not.
using ReplicaRevisions = std::array<int64_t, kReplicaPartCount>;

// Asks for everything newer than the given revisions, now and later.
struct SubscribeMessage {
  ReplicaRevisions revisions = {};
};

// Some entries of a part; the last frame of a snapshot says so.
struct SnapshotMessage {
  ReplicaPart part = ReplicaPart::kConfiguration;
  int64_t revision = 0;
  // The store has just come back; entries may have lapsed meanwhile.
  bool is_after_outage = false;
  bool is_last = true;
  std::vector<StoreEntry> entries;
};

struct ChangesMessage {
  ReplicaPart part = ReplicaPart::kConfiguration;
  PrefixChanges changes;
  // The store has just come back; removals may be entries that lapsed
  // meanwhile.
  bool is_after_outage = false;
};

// Of the sender: the latest change of each part, and how long ago the store
// last answered it, or the node that it has its knowledge from.
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
