#include "peridotmill_actions/home/bucket_pruner.h"

#include <algorithm>
#include <utility>

#include "peridotmill_actions/home/bucket_reader.h"
#include "peridotmill_actions/log/segment_codec.h"

namespace peridotmill {
namespace {

// One prune a minute and bucket adds about one write a second to the fleet.
constexpr Duration kPruneInterval = std::chrono::seconds(60);
// 512 KB in one store value.
constexpr size_t kMaxTombstonesPerPrune = size_t{32} * 1024;

StoreTxn PruneTxn(HomeContext& context,
                  int32_t index,
                  int64_t floor,
                  const std::vector<Tombstone>& tombstones) {
  const Bucket& bucket = context.bucket(index);
  StoreTxn txn;
  const std::string base_key = SegmentKey(index, 0);
  txn.compares = {
      {base_key, StoreCompare::Target::kModRevision, bucket.base_mod_revision}};
  txn.puts = {{base_key, EncodeBase(floor), 0}};
  int64_t newest = 0;
  for (const Tombstone& tombstone : tombstones) {
    newest = std::max(newest, tombstone.claimed_at);
  }
  if (!tombstones.empty()) {
    txn.puts.push_back(
        {TombstoneKey(index, newest, floor), EncodeTombstones(tombstones), 0});
  }
  txn.deletes.push_back({SegmentKey(index, 1), SegmentKey(index, floor)});
  const int64_t oldest = context.now.epoch_seconds() -
                         kTombstoneRetentions * context.retention_seconds();
  txn.deletes.push_back({TombstonePrefix(index),
                         TombstoneKey(index, std::max<int64_t>(oldest, 0), 0)});
  return txn;
}

}  // namespace

void ContinuePruning(HomeContext& context, int32_t index) {
  Bucket& bucket = context.bucket(index);
  if (bucket.phase != BucketPhase::kServing || bucket.is_reading ||
      bucket.write || bucket.is_pruning ||
      context.now.steady < bucket.next_prune ||
      IsKnownDown(context.state.health, context.now.steady) ||
      HomeOf(index, context.state.nodes) != context.state.self) {
    return;
  }
  bucket.next_prune = context.now.steady + kPruneInterval;
  const int64_t now_seconds = context.now.epoch_seconds();
  int64_t floor =
      ExpiredFloor(bucket.log, context.retention_seconds(), now_seconds);
  if (bucket.log.stamps.empty() ||
      floor <= bucket.log.stamps.front().sequence) {
    return;
  }
  auto tombstones = TombstonesBelow(bucket.log, floor,
                                    context.retention_seconds(), now_seconds);
  while (tombstones.size() > kMaxTombstonesPerPrune &&
         floor > bucket.log.stamps.front().sequence + 1) {
    floor -= (floor - bucket.log.stamps.front().sequence) / 2;
    tombstones = TombstonesBelow(bucket.log, floor, context.retention_seconds(),
                                 now_seconds);
  }
  bucket.is_pruning = true;
  context.Call({HomeOperationKind::kPrune, index, floor},
               PruneTxn(context, index, floor, tombstones));
}

void OnPruned(HomeContext& context,
              int32_t index,
              int64_t floor,
              const StoreAnswer& answer) {
  Bucket& bucket = context.bucket(index);
  bucket.is_pruning = false;
  if (answer.status == StoreStatus::kOk) {
    ++context.state.counters.prunes;
    // The transaction's revision is the base record's new one.
    bucket.base_mod_revision = answer.store_revision;
    bucket.floor = floor;
    ForgetBelow(bucket.log, floor, context.retention_seconds(),
                context.now.epoch_seconds());
    return;
  }
  if (answer.status == StoreStatus::kConflict) {
    for (const StoreEntry& entry : answer.entries) {
      if (entry.key == SegmentKey(index, 0)) {
        ApplyBase(context, index, entry);
      }
    }
  }
  // After an unknown outcome, the next write conflicts if the base changed and
  // brings the new one.
}

}  // namespace peridotmill
