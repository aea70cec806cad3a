#include "peridotmill_actions/log/bucket_log.h"

#include "peridotmill_actions/log/log_keys.h"

namespace peridotmill {
namespace {

// Clocks of nodes may differ by this much; nothing is forgotten earlier.
constexpr int64_t kClockSkewSeconds = 120;

void ApplyClaim(BucketLog& log, const Segment& segment, const LogEntry& entry) {
  if (log.voided.contains(entry.nonce.value())) {
    return;
  }
  const auto [position, is_first] =
      log.records.try_emplace(ScopedKey(entry.team, entry.key));
  if (!is_first) {
    return;
  }
  ActionRecord& record = position->second;
  record.team = entry.team;
  record.key = entry.key;
  record.nonce = entry.nonce;
  record.request_digest = entry.request_digest;
  record.claimant = entry.claimant;
  record.claimant_incarnation = entry.claimant_incarnation;
  record.sequence = segment.sequence;
  record.claimed_at = segment.written_at;
}

void ApplyOutcome(BucketLog& log, const LogEntry& entry) {
  const auto found = log.records.find(ScopedKey(entry.team, entry.key));
  if (found != log.records.end() && found->second.nonce == entry.nonce &&
      !found->second.answer) {
    found->second.answer = entry.answer;
  }
}

void ApplyVoid(BucketLog& log, const Segment& segment, const LogEntry& entry) {
  const auto found = log.records.find(ScopedKey(entry.team, entry.key));
  if (found != log.records.end() && found->second.nonce == entry.nonce) {
    // An outcome shows that the action ran; a void after it is not valid.
    if (found->second.answer) {
      return;
    }
    log.records.erase(found);
  }
  log.voided.emplace(entry.nonce.value(), segment.sequence);
}

// Whether the key alone shows every node that it is past retention.
bool ShowsItsAge(const ActionRecord& record,
                 int64_t retention_seconds,
                 int64_t now_seconds) {
  const auto created_at = CreationTimeOf(record.key);
  return created_at &&
         *created_at + retention_seconds + kClockSkewSeconds <= now_seconds;
}

}  // namespace

void ApplySegment(BucketLog& log, const Segment& segment) {
  for (const LogEntry& entry : segment.entries) {
    switch (entry.kind) {
      case LogEntryKind::kClaim:
        ApplyClaim(log, segment, entry);
        break;
      case LogEntryKind::kOutcome:
        ApplyOutcome(log, entry);
        break;
      case LogEntryKind::kVoid:
        ApplyVoid(log, segment, entry);
        break;
    }
  }
  log.stamps.push_back({segment.sequence, segment.written_at});
  log.next_sequence = segment.sequence + 1;
}

const ActionRecord* FindRecord(const BucketLog& log,
                               const std::string& scoped_key) {
  const auto found = log.records.find(scoped_key);
  return found == log.records.end() ? nullptr : &found->second;
}

int64_t ExpiredFloor(const BucketLog& log,
                     int64_t retention_seconds,
                     int64_t now_seconds) {
  int64_t floor =
      log.stamps.empty() ? log.next_sequence : log.stamps.front().sequence;
  for (const SegmentStamp& stamp : log.stamps) {
    if (stamp.written_at + retention_seconds + kClockSkewSeconds >
        now_seconds) {
      break;
    }
    floor = stamp.sequence + 1;
  }
  return floor;
}

std::vector<Tombstone> TombstonesBelow(const BucketLog& log,
                                       int64_t floor,
                                       int64_t retention_seconds,
                                       int64_t now_seconds) {
  std::vector<Tombstone> tombstones;
  for (const auto& [scoped_key, record] : log.records) {
    if (record.sequence < floor &&
        !ShowsItsAge(record, retention_seconds, now_seconds)) {
      tombstones.push_back({KeyFingerprint(scoped_key), record.claimed_at});
    }
  }
  return tombstones;
}

void ForgetBelow(BucketLog& log,
                 int64_t floor,
                 int64_t retention_seconds,
                 int64_t now_seconds) {
  for (const Tombstone& tombstone :
       TombstonesBelow(log, floor, retention_seconds, now_seconds)) {
    log.tombstones[tombstone.fingerprint] = tombstone.claimed_at;
  }
  std::erase_if(log.records, [floor](const auto& entry) {
    return entry.second.sequence < floor;
  });
  std::erase_if(log.voided,
                [floor](const auto& entry) { return entry.second < floor; });
  const int64_t oldest = now_seconds - kTombstoneRetentions * retention_seconds;
  std::erase_if(log.tombstones,
                [oldest](const auto& entry) { return entry.second < oldest; });
  while (!log.stamps.empty() && log.stamps.front().sequence < floor) {
    log.stamps.pop_front();
  }
}

}  // namespace peridotmill
