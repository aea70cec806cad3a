#ifndef PERIDOTMILL_GATEWAY_REPLICATION_VALUE_TRANSFER_H_
#define PERIDOTMILL_GATEWAY_REPLICATION_VALUE_TRANSFER_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_gateway/replication/prefix_state.h"
#include "peridotmill_gateway/replication/replica_message.h"

namespace peridotmill {

// Values up to this size are part of updates. Longer ones are omitted and
// fetched, so that an update never delays the frames behind it for long.
inline constexpr size_t kMaxInlineValueBytes = size_t{16} << 10;

// The form in which a value is sent to another node: the compressed difference
// to a version that the other node has.
struct ValueTransfer {
  // 0 if the transfer does not need an earlier version.
  int64_t base_revision = 0;
  uint64_t digest = 0;
  std::string bytes;
};

// `base` is empty if the receiver has no earlier version.
ValueTransfer MakeValueTransfer(int64_t base_revision,
                                std::string_view base,
                                std::string_view value);
// Returns the value. Errors: kMalformed, kTooLarge, or kDigestMismatch if
// `base` is not the one that the transfer was made for.
Result<std::string> ReadValueTransfer(std::string_view base,
                                      std::string_view transfer_bytes);

// Makes the transfers that other nodes request, and keeps the latest ones,
// since many nodes request the same one. A kept transfer can still be finished
// after its version was replaced.
class ValueTransferCache {
 public:
  // Returns the transfer of a version to a node that has `base_revision` (0:
  // none), or null if the state no longer has the version.
  std::shared_ptr<const ValueTransfer> Get(const PrefixState& state,
                                           const ValueVersion& version,
                                           int64_t base_revision);

 private:
  struct CachedTransfer {
    ValueVersion version;
    int64_t requested_base = 0;
    std::shared_ptr<const ValueTransfer> transfer;
  };
  // Most recently used first.
  std::list<CachedTransfer> transfers_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REPLICATION_VALUE_TRANSFER_H_
