#include "peridotmill_actions/log/segment_codec.h"

#include <cstring>
#include <nlohmann/json.hpp>

namespace peridotmill {
namespace {

using nlohmann::json;

constexpr char kVersion = 1;
// Field names and lengths of one entry, rounded up.
constexpr size_t kEntryOverhead = 64;

std::string Pack(const json& value) {
  std::string data(1, kVersion);
  json::to_msgpack(value, data);
  return data;
}

// Discarded when the data is not of this version.
json Unpack(const std::string& data) {
  if (data.empty() || data[0] != kVersion) {
    return json(json::value_t::discarded);
  }
  return json::from_msgpack(data.begin() + 1, data.end(), true, false);
}

auto Malformed() {
  return tl::unexpected(make_error_code(Error::kMalformed));
}

json ToJson(const LogEntry& entry) {
  json packed = json::array({static_cast<int>(entry.kind), entry.team.value(),
                             entry.key.value(), entry.nonce.value()});
  if (entry.kind == LogEntryKind::kClaim) {
    packed.push_back(entry.request_digest);
    packed.push_back(entry.claimant.value());
    packed.push_back(entry.claimant_incarnation.value());
  } else if (entry.kind == LogEntryKind::kOutcome) {
    packed.push_back(static_cast<int>(entry.answer.execution));
    packed.push_back(entry.answer.http_status);
    packed.push_back(entry.answer.body);
    packed.push_back(entry.answer.digest);
  }
  return packed;
}

// Throws json::exception on malformed input, as do the calls below.
LogEntry EntryFromJson(const json& packed) {
  LogEntry entry;
  const int kind = packed.at(0).get<int>();
  if (kind < 0 || kind > static_cast<int>(LogEntryKind::kVoid)) {
    throw json::out_of_range::create(401, "entry kind", &packed);
  }
  entry.kind = static_cast<LogEntryKind>(kind);
  entry.team = TeamId(packed.at(1).get<std::string>());
  entry.key = IdempotencyKey(packed.at(2).get<std::string>());
  entry.nonce = Nonce(packed.at(3).get<std::string>());
  if (entry.kind == LogEntryKind::kClaim) {
    entry.request_digest = packed.at(4).get<std::string>();
    entry.claimant = NodeId(packed.at(5).get<std::string>());
    entry.claimant_incarnation = Incarnation(packed.at(6).get<int64_t>());
  } else if (entry.kind == LogEntryKind::kOutcome) {
    const int execution = packed.at(4).get<int>();
    if (execution < 0 || execution > static_cast<int>(Execution::kUnknown)) {
      throw json::out_of_range::create(401, "execution", &packed);
    }
    entry.answer.execution = static_cast<Execution>(execution);
    entry.answer.http_status = packed.at(5).get<int32_t>();
    entry.answer.body = packed.at(6).get<std::string>();
    entry.answer.digest = packed.at(7).get<std::string>();
  }
  return entry;
}

}  // namespace

std::string EncodeSegment(const Segment& segment) {
  json entries = json::array();
  for (const LogEntry& entry : segment.entries) {
    entries.push_back(ToJson(entry));
  }
  return Pack(
      json::array({segment.bucket, segment.sequence, segment.writer.value(),
                   segment.written_at, std::move(entries)}));
}

Result<Segment> DecodeSegment(const std::string& data) {
  const json packed = Unpack(data);
  if (!packed.is_array()) {
    return Malformed();
  }
  try {
    Segment segment;
    segment.bucket = packed.at(0).get<int32_t>();
    segment.sequence = packed.at(1).get<int64_t>();
    segment.writer = Nonce(packed.at(2).get<std::string>());
    segment.written_at = packed.at(3).get<int64_t>();
    for (const json& entry : packed.at(4)) {
      segment.entries.push_back(EntryFromJson(entry));
    }
    return segment;
  } catch (const json::exception&) {
    return Malformed();
  }
}

std::string EncodeBase(int64_t floor) {
  return Pack(json(floor));
}

Result<int64_t> DecodeBase(const std::string& data) {
  const json packed = Unpack(data);
  if (!packed.is_number_integer() || packed.get<int64_t>() < 1) {
    return Malformed();
  }
  return packed.get<int64_t>();
}

std::string EncodeTombstones(const std::vector<Tombstone>& tombstones) {
  std::string data(1 + tombstones.size() * sizeof(Tombstone), kVersion);
  if (!tombstones.empty()) {
    std::memcpy(data.data() + 1, tombstones.data(),
                tombstones.size() * sizeof(Tombstone));
  }
  return data;
}

Result<std::vector<Tombstone>> DecodeTombstones(const std::string& data) {
  if (data.empty() || data[0] != kVersion ||
      (data.size() - 1) % sizeof(Tombstone) != 0) {
    return Malformed();
  }
  std::vector<Tombstone> tombstones((data.size() - 1) / sizeof(Tombstone));
  if (!tombstones.empty()) {
    std::memcpy(tombstones.data(), data.data() + 1, data.size() - 1);
  }
  return tombstones;
}

size_t EncodedSizeOf(const LogEntry& entry) {
  return kEntryOverhead + entry.team.value().size() + entry.key.value().size() +
         entry.nonce.value().size() + entry.request_digest.size() +
         entry.claimant.value().size() + entry.answer.body.size() +
         entry.answer.digest.size();
}

}  // namespace peridotmill
