#ifndef PERIDOTMILL_ACTIONS_LOG_LOG_ENTRY_H_
#define PERIDOTMILL_ACTIONS_LOG_LOG_ENTRY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/reasons/reason.h"
#include "peridotmill_core/units/units.h"

namespace peridotmill {

// Answers above this size are kept as digest and status only.
inline constexpr size_t kMaxInlineAnswer = size_t{16} * 1024;

// What a finished action answered.
struct ActionAnswer {
  // kUnknown when the call was sent and its outcome never became known.
  Execution execution = Execution::kRan;
  int32_t http_status = 200;
  // Empty with a digest when the answer was too large to keep.
  std::string body;
  std::string digest;

  friend bool operator==(const ActionAnswer&, const ActionAnswer&) = default;
};

enum class LogEntryKind : uint8_t { kClaim, kOutcome, kVoid };

// One fact about one action. `nonce` identifies the claim it belongs to.
struct LogEntry {
  LogEntryKind kind = LogEntryKind::kClaim;
  TeamId team;
  IdempotencyKey key;
  Nonce nonce;
  // Claims only.
  std::string request_digest;
  NodeId claimant;
  Incarnation claimant_incarnation;
  // Outcomes only.
  ActionAnswer answer;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

// An immutable piece of one bucket's log.
struct Segment {
  int32_t bucket = 0;
  // From 1, without gaps.
  int64_t sequence = 0;
  // Identifies the write, to settle one whose answer was lost.
  Nonce writer;
  // Seconds since the Unix epoch, by the writer's clock.
  int64_t written_at = 0;
  std::vector<LogEntry> entries;

  friend bool operator==(const Segment&, const Segment&) = default;
};

// Remembers that a key was used after its log entries were deleted.
struct Tombstone {
  uint64_t fingerprint = 0;
  // Seconds since the Unix epoch at which the claim was written.
  int64_t claimed_at = 0;

  friend bool operator==(const Tombstone&, const Tombstone&) = default;
};
static_assert(sizeof(Tombstone) == 16);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_LOG_LOG_ENTRY_H_
