#ifndef PERIDOTMILL_ACTIONS_LOG_LOG_KEYS_H_
#define PERIDOTMILL_ACTIONS_LOG_LOG_KEYS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "peridotmill_core/ids/ids.h"

namespace peridotmill {

inline constexpr int32_t kBucketCount = 64;

// Team and key as one string; keys are scoped by team.
std::string ScopedKey(const TeamId& team, const IdempotencyKey& key);
uint64_t KeyFingerprint(const std::string& scoped_key);
int32_t BucketOf(const TeamId& team, const IdempotencyKey& key);

// Store keys. Numbers are zero-padded, so that the store's order is theirs.
// Sequence 0 is the bucket's base record, which holds the first sequence that
// is still kept.
std::string BucketPrefix(int32_t bucket);
std::string SegmentKey(int32_t bucket, int64_t sequence);
std::string TombstonePrefix(int32_t bucket);
std::string TombstoneKey(int32_t bucket, int64_t newest, int64_t floor);

// Sequence number of a key under BucketPrefix(); nullopt when malformed.
std::optional<int64_t> SequenceOf(const std::string& store_key, int32_t bucket);

// Creation time of a UUIDv7 key in seconds since the Unix epoch.
// @see RFC 9562, section 5.7.
std::optional<int64_t> CreationTimeOf(const IdempotencyKey& key);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_LOG_LOG_KEYS_H_
