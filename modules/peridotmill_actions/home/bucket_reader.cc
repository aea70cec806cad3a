#include "peridotmill_actions/home/bucket_reader.h"

#include <utility>

#include "peridotmill_actions/home/bucket_writer.h"
#include "peridotmill_actions/log/segment_codec.h"

namespace peridotmill {
namespace {

// Segments hold about 1 KB at the design load, so that a page stays small.
constexpr int64_t kLogPage = 128;
// Tombstone values hold up to 512 KB.
constexpr int64_t kTombstonePage = 4;
constexpr Duration kReadRetry = std::chrono::milliseconds(200);
constexpr uint64_t kReadJitterMs = 300;
constexpr Duration kMalformedRetry = std::chrono::seconds(30);

void MarkMalformed(HomeContext& context, int32_t index) {
  Bucket& bucket = context.bucket(index);
  bucket.phase = BucketPhase::kMalformed;
  bucket.is_reading = false;
  bucket.next_read = context.now.steady + kMalformedRetry;
  ++context.state.counters.malformed_segments;
}

void StartRead(HomeContext& context,
               int32_t index,
               HomeOperationKind kind,
               StoreRange range) {
  Bucket& bucket = context.bucket(index);
  bucket.is_reading = true;
  bucket.is_read_needed = false;
  ++bucket.reads_started;
  context.Call({kind, index, 0}, std::move(range));
}

void StartTombstoneRead(HomeContext& context, int32_t index) {
  const std::string prefix = TombstonePrefix(index);
  const std::string& from = context.bucket(index).read_from;
  StartRead(
      context, index, HomeOperationKind::kReadTombstones,
      {from.empty() ? prefix : from, PrefixRangeEnd(prefix), kTombstonePage});
}

bool IsFirstPage(const Bucket& bucket) {
  return bucket.phase == BucketPhase::kLog && bucket.log.stamps.empty();
}

void StartLogRead(HomeContext& context, int32_t index) {
  const Bucket& bucket = context.bucket(index);
  const int64_t from = IsFirstPage(bucket) ? 0 : bucket.log.next_sequence;
  StartRead(
      context, index, HomeOperationKind::kReadLog,
      {SegmentKey(index, from), PrefixRangeEnd(BucketPrefix(index)), kLogPage});
}

void RetryReadLater(HomeContext& context, int32_t index) {
  Bucket& bucket = context.bucket(index);
  bucket.is_read_needed = true;
  // Jitter keeps the nodes from reading together when the store returns.
  bucket.next_read =
      context.now.steady + kReadRetry +
      std::chrono::milliseconds(context.state.random.Below(kReadJitterMs));
}

enum class EntryResult : uint8_t { kApplied, kGap, kMalformed };

EntryResult ApplyLogEntry(HomeContext& context,
                          int32_t index,
                          const StoreEntry& entry) {
  Bucket& bucket = context.bucket(index);
  const auto sequence = SequenceOf(entry.key, index);
  if (!sequence) {
    return EntryResult::kMalformed;
  }
  if (*sequence == 0) {
    const auto floor = DecodeBase(entry.value);
    if (!floor) {
      return EntryResult::kMalformed;
    }
    bucket.floor = *floor;
    bucket.base_mod_revision = entry.mod_revision;
    bucket.log.next_sequence = *floor;
    return EntryResult::kApplied;
  }
  if (*sequence < bucket.log.next_sequence) {
    return EntryResult::kApplied;
  }
  if (*sequence > bucket.log.next_sequence) {
    return EntryResult::kGap;
  }
  const auto segment = DecodeSegment(entry.value);
  if (!segment || segment->sequence != *sequence || segment->bucket != index) {
    return EntryResult::kMalformed;
  }
  ApplySegment(bucket.log, *segment);
  SettleWrite(context, index, *segment);
  return EntryResult::kApplied;
}

}  // namespace

void OpenBucket(HomeContext& context, int32_t index) {
  Bucket& bucket = context.bucket(index);
  bucket.open_at.reset();
  if (bucket.phase == BucketPhase::kClosed) {
    ReloadBucket(context, index);
  }
}

void ReloadBucket(HomeContext& context, int32_t index) {
  Bucket& bucket = context.bucket(index);
  bucket.log = {};
  bucket.floor = 1;
  bucket.base_mod_revision = 0;
  bucket.phase = BucketPhase::kTombstones;
  bucket.read_from.clear();
  bucket.is_read_needed = true;
  ContinueReading(context, index);
}

void ContinueReading(HomeContext& context, int32_t index) {
  const bool is_down = IsKnownDown(context.state.health, context.now.steady);
  if (context.bucket(index).is_read_needed && !is_down) {
    ReadBack(context, index);
  }
}

void ReadBack(HomeContext& context, int32_t index) {
  Bucket& bucket = context.bucket(index);
  bucket.is_read_needed = true;
  if (bucket.is_reading || context.now.steady < bucket.next_read) {
    return;
  }
  if (bucket.phase == BucketPhase::kTombstones) {
    StartTombstoneRead(context, index);
  } else if (bucket.phase == BucketPhase::kLog ||
             bucket.phase == BucketPhase::kServing) {
    StartLogRead(context, index);
  }
}

void OnTombstonesRead(HomeContext& context,
                      int32_t index,
                      const StoreAnswer& answer) {
  Bucket& bucket = context.bucket(index);
  bucket.is_reading = false;
  if (bucket.phase != BucketPhase::kTombstones) {
    ContinueReading(context, index);
    return;
  }
  if (answer.status != StoreStatus::kOk) {
    RetryReadLater(context, index);
    return;
  }
  for (const StoreEntry& entry : answer.entries) {
    const auto tombstones = DecodeTombstones(entry.value);
    if (!tombstones) {
      MarkMalformed(context, index);
      return;
    }
    for (const Tombstone& tombstone : *tombstones) {
      bucket.log.tombstones[tombstone.fingerprint] = tombstone.claimed_at;
    }
    bucket.read_from = entry.key + '\0';
  }
  if (answer.entries.size() < static_cast<size_t>(kTombstonePage)) {
    bucket.phase = BucketPhase::kLog;
  }
  bucket.is_read_needed = true;
  ContinueReading(context, index);
}

bool OnLogRead(HomeContext& context, int32_t index, const StoreAnswer& answer) {
  Bucket& bucket = context.bucket(index);
  bucket.is_reading = false;
  if (bucket.phase != BucketPhase::kLog &&
      bucket.phase != BucketPhase::kServing) {
    // The bucket was reloaded while the read was open.
    ContinueReading(context, index);
    return false;
  }
  if (answer.status != StoreStatus::kOk) {
    RetryReadLater(context, index);
    return false;
  }
  const bool is_first_page = IsFirstPage(bucket);
  for (const StoreEntry& entry : answer.entries) {
    switch (ApplyLogEntry(context, index, entry)) {
      case EntryResult::kApplied:
        break;
      case EntryResult::kGap:
        // Between pages, old segments may have been deleted; within the first
        // page, a gap is damage.
        if (is_first_page) {
          MarkMalformed(context, index);
        } else {
          ReloadBucket(context, index);
        }
        return false;
      case EntryResult::kMalformed:
        MarkMalformed(context, index);
        return false;
    }
  }
  if (answer.entries.size() >= static_cast<size_t>(kLogPage)) {
    bucket.is_read_needed = true;
    ContinueReading(context, index);
    return false;
  }
  bucket.phase = BucketPhase::kServing;
  return true;
}

void ApplyBase(HomeContext& context, int32_t index, const StoreEntry& entry) {
  Bucket& bucket = context.bucket(index);
  const auto floor = DecodeBase(entry.value);
  if (!floor) {
    MarkMalformed(context, index);
    return;
  }
  if (*floor > bucket.log.next_sequence) {
    ReloadBucket(context, index);
    return;
  }
  bucket.base_mod_revision = entry.mod_revision;
  if (*floor > bucket.floor) {
    bucket.floor = *floor;
    ForgetBelow(bucket.log, *floor, context.retention_seconds(),
                context.now.epoch_seconds());
  }
}

}  // namespace peridotmill
