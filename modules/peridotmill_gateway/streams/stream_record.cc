#include "peridotmill_gateway/streams/stream_record.h"

#include <algorithm>
#include <limits>
#include <map>

#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_gateway/peers/schema/stage_wire.h"

namespace peridotmill {

StreamKey::StreamKey(const PoolId& pool,
                     const TeamId& team,
                     const RequestId& request)
    : value_(Hash64(request.value(),
                    Hash64(team.value(), Hash64(pool.value())))) {}

std::string EncodeStreamRecord(const StreamRecord& record) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<std::string> pools;
  for (const PoolId& pool : record.pools) {
    pools.push_back(pool.value());
  }
  std::vector<std::string> versions;
  std::map<std::string, uint8_t> indexes;
  std::vector<uint64_t> streams;
  std::vector<uint8_t> stream_versions;
  for (const RecordedStream& stream : record.streams) {
    auto index = indexes.find(stream.version);
    if (index == indexes.end()) {
      if (versions.size() > std::numeric_limits<uint8_t>::max()) {
        continue;
      }
      index =
          indexes.emplace(stream.version, static_cast<uint8_t>(versions.size()))
              .first;
      versions.push_back(stream.version);
    }
    streams.push_back(stream.key.value());
    stream_versions.push_back(index->second);
  }
  const auto pool_vector = builder.CreateVectorOfStrings(pools);
  const auto version_vector = builder.CreateVectorOfStrings(versions);
  const auto stream_vector = builder.CreateVector(streams);
  const auto stream_version_vector = builder.CreateVector(stream_versions);
  builder.Finish(stagewire::CreateStreamRecord(builder, pool_vector,
                                               version_vector, stream_vector,
                                               stream_version_vector));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::optional<StreamRecord> DecodeStreamRecord(std::string_view value) {
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(value.data()),
                                 value.size());
  if (!verifier.VerifyBuffer<stagewire::StreamRecord>(nullptr)) {
    return std::nullopt;
  }
  const auto* const wire =
      flatbuffers::GetRoot<stagewire::StreamRecord>(value.data());
  if (wire->pools() == nullptr || wire->versions() == nullptr ||
      wire->streams() == nullptr || wire->stream_versions() == nullptr) {
    return std::nullopt;
  }
  StreamRecord record;
  for (const auto* const pool : *wire->pools()) {
    record.pools.emplace(pool->str());
  }
  const auto count =
      std::min(wire->streams()->size(), wire->stream_versions()->size());
  for (flatbuffers::uoffset_t i = 0; i < count; ++i) {
    const uint8_t version = wire->stream_versions()->Get(i);
    if (version < wire->versions()->size()) {
      record.streams.push_back({StreamKey(wire->streams()->Get(i)),
                                wire->versions()->Get(version)->str()});
    }
  }
  return record;
}

}  // namespace peridotmill
