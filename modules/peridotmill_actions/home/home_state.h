#ifndef PERIDOTMILL_ACTIONS_HOME_HOME_STATE_H_
#define PERIDOTMILL_ACTIONS_HOME_HOME_STATE_H_

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "peridotmill_actions/home/home_of.h"
#include "peridotmill_actions/home/store_health.h"
#include "peridotmill_actions/log/bucket_log.h"
#include "peridotmill_actions/log/log_keys.h"
#include "peridotmill_actions/messages/action_command.h"
#include "peridotmill_core/maths/random.h"

namespace peridotmill {

// Bounds of the home side's tables.
inline constexpr size_t kMaxPendingEntries = 4096;  // per bucket
inline constexpr size_t kMaxClaimWaiters = 4096;    // per bucket
inline constexpr size_t kMaxLookupWaiters = 1024;   // per bucket
inline constexpr size_t kMaxRecords = 100'000;      // per bucket
inline constexpr size_t kMaxTombstones = 500'000;   // per bucket
inline constexpr size_t kMaxSegmentBytes =
    size_t{512} * 1024;  // store values: 1 MB

// 64 buckets at this rate stay under 150 writes a second for the whole fleet.
inline constexpr double kWritesPerSecond = 2.3;

enum class BucketPhase : uint8_t {
  kClosed,
  kTombstones,
  kLog,
  kServing,
  kMalformed
};

// A write whose effect is not settled. It is repeated unchanged, so that it
// does not matter which of its copies took effect.
struct SegmentWrite {
  Segment segment;
  // A former copy may have taken effect or may still do so.
  bool is_in_doubt = false;
  bool is_open = false;
};

struct ClaimWaiter {
  ClaimRequest request;
  NodeId origin;
  TimePoint deadline;
  // Whether its claim is among the pending entries or in the open write.
  bool is_queued = false;
};

struct LookupWaiter {
  ActionLookup lookup;
  NodeId origin;
  // Answered by the first read that is numbered above this.
  uint64_t after_read = 0;
};

struct Bucket {
  BucketPhase phase = BucketPhase::kClosed;
  BucketLog log;
  int64_t floor = 1;
  int64_t base_mod_revision = 0;

  std::deque<LogEntry> pending;
  std::optional<SegmentWrite> write;
  // Claims and lookups without a final reply; claims by nonce.
  std::map<Nonce, ClaimWaiter> waiters;
  std::vector<LookupWaiter> lookups;
  // Origins that wait for an acknowledgement, by nonce.
  std::map<Nonce, NodeId> acknowledgements;

  bool is_reading = false;
  bool is_read_needed = false;
  bool is_pruning = false;
  uint64_t reads_started = 0;
  // Start of the next page; empty for the first one.
  std::string read_from;
  // Not before this time, after a failure.
  TimePoint next_read;
  TimePoint next_poll;
  TimePoint next_write;
  TimePoint next_prune;
  TimePoint last_used;
  // When a bucket that this node became home of is opened.
  std::optional<TimePoint> open_at;
};

enum class HomeOperationKind : uint8_t {
  kReadTombstones,
  kReadLog,
  kWrite,
  kPrune,
  kProbe,
};

struct HomeOperation {
  HomeOperationKind kind = HomeOperationKind::kProbe;
  int32_t bucket = 0;
  // Sequence of a write or floor of a prune.
  int64_t sequence = 0;
};

struct HomeCounters {
  uint64_t segments_written = 0;
  uint64_t races_lost = 0;
  uint64_t writes_in_doubt = 0;
  uint64_t malformed_segments = 0;
  uint64_t prunes = 0;
};

struct HomeState {
  NodeId self;
  std::chrono::seconds retention{3600};
  std::vector<ActionNode> nodes;
  std::array<Bucket, kBucketCount> buckets;
  StoreHealth health;
  std::map<ActionOperation, HomeOperation> operations;
  ActionOperation last_operation;
  bool is_probing = false;
  TimePoint next_probe;
  Random random{1};
  HomeCounters counters;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_HOME_HOME_STATE_H_
