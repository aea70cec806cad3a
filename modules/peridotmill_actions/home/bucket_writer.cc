#include "peridotmill_actions/home/bucket_writer.h"

#include <algorithm>
#include <utility>

#include "peridotmill_actions/home/bucket_reader.h"
#include "peridotmill_actions/home/claim_answers.h"
#include "peridotmill_actions/log/segment_codec.h"

namespace peridotmill {
namespace {

constexpr Duration kWriteInterval = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1.0 / kWritesPerSecond));
// Writes that may follow each other at once after an idle time: a claim, its
// outcome and one more. With one, a second call under a key waited 435 ms for
// the outcome to be written.
constexpr int kWriteBurst = 3;

void Acknowledge(HomeContext& context, Bucket& bucket, const Nonce& nonce) {
  const auto found = bucket.acknowledgements.find(nonce);
  if (found != bucket.acknowledgements.end()) {
    context.Send(found->second, OutcomeAck{nonce});
    bucket.acknowledgements.erase(found);
  }
}

// A claim is written only while its origin waits, so that a buffered claim
// cannot come back after the log has forgotten its void.
bool IsClaimWanted(HomeContext& context,
                   Bucket& bucket,
                   const LogEntry& entry) {
  const auto waiter = bucket.waiters.find(entry.nonce);
  if (waiter == bucket.waiters.end() ||
      waiter->second.deadline <= context.now.steady) {
    return false;
  }
  if (IsUndecided(context, bucket, waiter->second.request)) {
    return true;
  }
  waiter->second.is_queued = false;
  return false;
}

bool IsWanted(HomeContext& context, Bucket& bucket, const LogEntry& entry) {
  if (entry.kind == LogEntryKind::kClaim) {
    return IsClaimWanted(context, bucket, entry);
  }
  if (IsSettled(bucket.log, entry)) {
    Acknowledge(context, bucket, entry.nonce);
    return false;
  }
  return true;
}

std::vector<LogEntry> TakeEntries(HomeContext& context, Bucket& bucket) {
  std::vector<LogEntry> entries;
  size_t bytes = 0;
  while (!bucket.pending.empty()) {
    const size_t size = EncodedSizeOf(bucket.pending.front());
    if (!entries.empty() && bytes + size > kMaxSegmentBytes) {
      break;
    }
    LogEntry entry = std::move(bucket.pending.front());
    bucket.pending.pop_front();
    if (IsWanted(context, bucket, entry)) {
      bytes += size;
      entries.push_back(std::move(entry));
    }
  }
  return entries;
}

// One transaction a bucket: the store's budget allows 2.3 writes/s for each,
// and a lost race or a lost answer of one bucket then never holds up another.
// The second comparison makes a writer fail that was paused while the segment
// it wants to create was written by another node and deleted after retention.
void SendWrite(HomeContext& context, int32_t index) {
  Bucket& bucket = context.bucket(index);
  SegmentWrite& write = *bucket.write;
  write.is_open = true;
  // A token bucket in one variable: time that was not used lets further writes
  // follow at once.
  bucket.next_write =
      std::max(bucket.next_write,
               context.now.steady - (kWriteBurst - 1) * kWriteInterval) +
      kWriteInterval;
  const std::string key = SegmentKey(index, write.segment.sequence);
  StoreTxn txn;
  txn.compares = {{key, StoreCompare::Target::kCreateRevision, 0},
                  {SegmentKey(index, 0), StoreCompare::Target::kModRevision,
                   bucket.base_mod_revision}};
  txn.puts = {{key, EncodeSegment(write.segment), 0}};
  context.Call({HomeOperationKind::kWrite, index, write.segment.sequence},
               std::move(txn));
}

// Puts the entries of the write back in front of the pending ones.
void GiveBackEntries(Bucket& bucket) {
  std::vector<LogEntry>& entries = bucket.write->segment.entries;
  for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
    bucket.pending.push_front(std::move(*entry));
  }
  bucket.write.reset();
}

void FinishWrite(HomeContext& context, Bucket& bucket) {
  const Segment segment = std::move(bucket.write->segment);
  bucket.write.reset();
  ++context.state.counters.segments_written;
  for (const LogEntry& entry : segment.entries) {
    if (entry.kind != LogEntryKind::kClaim) {
      Acknowledge(context, bucket, entry.nonce);
    } else if (const auto waiter = bucket.waiters.find(entry.nonce);
               waiter != bucket.waiters.end()) {
      waiter->second.is_queued = false;
    }
  }
}

void OnWriteConflict(HomeContext& context,
                     int32_t index,
                     const StoreAnswer& answer) {
  Bucket& bucket = context.bucket(index);
  const std::string base_key = SegmentKey(index, 0);
  for (const StoreEntry& entry : answer.entries) {
    if (entry.key == base_key) {
      ApplyBase(context, index, entry);
    }
  }
  bucket.is_read_needed = true;
  ContinueReading(context, index);
}

}  // namespace

bool Enqueue(HomeContext& context, int32_t index, LogEntry entry) {
  Bucket& bucket = context.bucket(index);
  if (bucket.pending.size() >= kMaxPendingEntries) {
    return false;
  }
  bucket.pending.push_back(std::move(entry));
  return true;
}

void ContinueWriting(HomeContext& context, int32_t index) {
  Bucket& bucket = context.bucket(index);
  if (bucket.phase != BucketPhase::kServing || bucket.is_reading ||
      bucket.is_read_needed || bucket.is_pruning ||
      context.now.steady < bucket.next_write ||
      IsKnownDown(context.state.health, context.now.steady)) {
    return;
  }
  if (bucket.write) {
    if (!bucket.write->is_open) {
      SendWrite(context, index);
    }
    return;
  }
  std::vector<LogEntry> entries = TakeEntries(context, bucket);
  if (entries.empty()) {
    return;
  }
  bucket.write.emplace();
  Segment& segment = bucket.write->segment;
  segment.bucket = index;
  segment.sequence = bucket.log.next_sequence;
  segment.writer = Nonce(context.state.random.HexToken());
  segment.written_at = context.now.epoch_seconds();
  segment.entries = std::move(entries);
  SendWrite(context, index);
}

void SettleWrite(HomeContext& context, int32_t index, const Segment& segment) {
  Bucket& bucket = context.bucket(index);
  if (!bucket.write) {
    return;
  }
  if (bucket.write->segment.writer == segment.writer) {
    FinishWrite(context, bucket);
  } else if (segment.sequence == bucket.write->segment.sequence &&
             !bucket.write->is_open) {
    ++context.state.counters.races_lost;
    GiveBackEntries(bucket);
  }
}

void ReleaseStaleWrite(HomeContext& context, int32_t index) {
  Bucket& bucket = context.bucket(index);
  if (bucket.write && !bucket.write->is_open &&
      bucket.write->segment.sequence != bucket.log.next_sequence) {
    ++context.state.counters.races_lost;
    GiveBackEntries(bucket);
  }
}

void OnWritten(HomeContext& context,
               int32_t index,
               int64_t sequence,
               const StoreAnswer& answer) {
  Bucket& bucket = context.bucket(index);
  // A read may have settled the write before its answer came.
  if (!bucket.write || bucket.write->segment.sequence != sequence) {
    return;
  }
  SegmentWrite& write = *bucket.write;
  write.is_open = false;
  switch (answer.status) {
    case StoreStatus::kOk:
      if (write.segment.sequence == bucket.log.next_sequence) {
        ApplySegment(bucket.log, write.segment);
        FinishWrite(context, bucket);
        return;
      }
      break;
    case StoreStatus::kConflict:
      OnWriteConflict(context, index, answer);
      return;
    case StoreStatus::kUnavailable:
      if (!write.is_in_doubt) {
        GiveBackEntries(bucket);
        return;
      }
      break;
    case StoreStatus::kUnknown:
      write.is_in_doubt = true;
      ++context.state.counters.writes_in_doubt;
      break;
  }
  // The segment at this sequence number decides; a read finds it.
  ReadBack(context, index);
}

}  // namespace peridotmill
