#ifndef PERIDOTMILL_ACTIONS_LOG_SEGMENT_CODEC_H_
#define PERIDOTMILL_ACTIONS_LOG_SEGMENT_CODEC_H_

#include <string>
#include <vector>

#include "peridotmill_actions/log/log_entry.h"
#include "peridotmill_core/errors/error.h"

namespace peridotmill {

// Store values of a bucket's log: a version byte and MessagePack.
std::string EncodeSegment(const Segment& segment);
// Errors: kMalformed.
Result<Segment> DecodeSegment(const std::string& data);

// The base record holds the first sequence that is still kept.
std::string EncodeBase(int64_t floor);
// Errors: kMalformed.
Result<int64_t> DecodeBase(const std::string& data);

// 16 bytes a tombstone after the version byte, little-endian.
std::string EncodeTombstones(const std::vector<Tombstone>& tombstones);
// Errors: kMalformed.
Result<std::vector<Tombstone>> DecodeTombstones(const std::string& data);

// Upper estimate of an entry's encoded size in bytes.
size_t EncodedSizeOf(const LogEntry& entry);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_LOG_SEGMENT_CODEC_H_
