#include "peridotmill_gateway/replication/value_transfer.h"

#include <algorithm>
#include <utility>

#include "peridotmill_core/compression/deflate.h"
#include "peridotmill_core/compression/delta.h"
#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {
namespace {

constexpr size_t kMaxCachedTransfers = 4;
// Limits the memory that a transfer from a faulty node takes.
constexpr size_t kMaxValueBytes = size_t{16} << 20;

}  // namespace

ValueTransfer MakeValueTransfer(int64_t base_revision,
                                std::string_view base,
                                std::string_view value) {
  ValueTransfer transfer = {.base_revision = base_revision,
                            .bytes = Deflate(EncodeDelta(base, value))};
  transfer.digest = Hash64(transfer.bytes);
  return transfer;
}

Result<std::string> ReadValueTransfer(std::string_view base,
                                      std::string_view transfer_bytes) {
  // Instructions are shorter than the value unless it has nothing in common
  // with the base.
  const auto delta = Inflate(transfer_bytes, 2 * kMaxValueBytes);
  if (!delta) {
    return tl::unexpected(delta.error());
  }
  return ApplyDelta(base, *delta, kMaxValueBytes);
}

std::shared_ptr<const ValueTransfer> ValueTransferCache::Get(
    const PrefixState& state,
    const ValueVersion& version,
    int64_t base_revision) {
  const auto cached = std::find_if(
      transfers_.begin(), transfers_.end(), [&](const CachedTransfer& entry) {
        return entry.version == version &&
               entry.requested_base == base_revision;
      });
  if (cached != transfers_.end()) {
    transfers_.splice(transfers_.begin(), transfers_, cached);
    return transfers_.front().transfer;
  }
  const StoreEntry* const entry =
      FindVersion(state, version.key, version.mod_revision);
  if (entry == nullptr) {
    return nullptr;
  }
  const StoreEntry* const base = FindVersion(state, version.key, base_revision);
  auto transfer = std::make_shared<const ValueTransfer>(
      base == nullptr
          ? MakeValueTransfer(0, "", entry->value)
          : MakeValueTransfer(base_revision, base->value, entry->value));
  transfers_.push_front({version, base_revision, transfer});
  if (transfers_.size() > kMaxCachedTransfers) {
    transfers_.pop_back();
  }
  return transfer;
}

}  // namespace peridotmill
