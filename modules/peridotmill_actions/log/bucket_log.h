#ifndef PERIDOTMILL_ACTIONS_LOG_BUCKET_LOG_H_
#define PERIDOTMILL_ACTIONS_LOG_BUCKET_LOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "peridotmill_actions/log/log_entry.h"

namespace peridotmill {

// The claim that holds a key.
struct ActionRecord {
  TeamId team;
  IdempotencyKey key;
  Nonce nonce;
  std::string request_digest;
  NodeId claimant;
  Incarnation claimant_incarnation;
  int64_t sequence = 0;
  int64_t claimed_at = 0;
  std::optional<ActionAnswer> answer;
};

struct SegmentStamp {
  int64_t sequence = 0;
  int64_t written_at = 0;
};

// What the segments read so far say. It is a function of the log alone, so all
// nodes that have read the same segments agree.
struct BucketLog {
  int64_t next_sequence = 1;
  // By ScopedKey().
  std::unordered_map<std::string, ActionRecord> records;
  // Nonces that never count again, with the sequence of their void. A void may
  // stand before a delayed copy of its claim.
  std::unordered_map<std::string, int64_t> voided;
  // Claim time by key fingerprint.
  std::unordered_map<uint64_t, int64_t> tombstones;
  std::deque<SegmentStamp> stamps;
};

// Applies the segment `log.next_sequence`.
void ApplySegment(BucketLog& log, const Segment& segment);

const ActionRecord* FindRecord(const BucketLog& log,
                               const std::string& scoped_key);

// Tombstones outlast the log entries by this many retention periods.
inline constexpr int64_t kTombstoneRetentions = 30;

// First sequence that is younger than the retention period.
int64_t ExpiredFloor(const BucketLog& log,
                     int64_t retention_seconds,
                     int64_t now_seconds);

// Tombstones for the claims below `floor` whose keys do not show their own age.
std::vector<Tombstone> TombstonesBelow(const BucketLog& log,
                                       int64_t floor,
                                       int64_t retention_seconds,
                                       int64_t now_seconds);

// Replaces everything below `floor` by its tombstones and drops the tombstones
// that are past their time.
void ForgetBelow(BucketLog& log,
                 int64_t floor,
                 int64_t retention_seconds,
                 int64_t now_seconds);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_LOG_BUCKET_LOG_H_
