#ifndef PERIDOTMILL_GATEWAY_STREAMS_STREAM_RECORD_H_
#define PERIDOTMILL_GATEWAY_STREAMS_STREAM_RECORD_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "peridotmill_core/ids/ids.h"

namespace peridotmill {

// Identifies a stream by its pool, its team and the id of the request that
// brought its first event.
class StreamKey {
 public:
  StreamKey() = default;
  explicit StreamKey(uint64_t value) : value_(value) {}
  StreamKey(const PoolId& pool, const TeamId& team, const RequestId& request);

  uint64_t value() const { return value_; }

  friend auto operator<=>(const StreamKey&, const StreamKey&) = default;

 private:
  uint64_t value_ = 0;
};

struct RecordedStream {
  StreamKey key;
  std::string version;
};

// What one process records about the streams that it has begun.
struct StreamRecord {
  // Pools in which it has seen several software versions.
  std::set<PoolId> pools;
  std::vector<RecordedStream> streams;
};

std::string EncodeStreamRecord(const StreamRecord& record);

// Returns nullopt if the value is malformed.
std::optional<StreamRecord> DecodeStreamRecord(std::string_view value);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STREAMS_STREAM_RECORD_H_
