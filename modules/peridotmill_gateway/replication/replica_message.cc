#include "peridotmill_gateway/replication/replica_message.h"

#include <algorithm>
#include <limits>
#include <optional>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/replication/schema/replica_wire.h"
#include "peridotmill_gateway/store/store_position.h"

namespace peridotmill {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using WireEntries = flatbuffers::Vector<Offset<replicawire::Entry>>;
using WireRevisions = flatbuffers::Vector<int64_t>;
using WireEras = flatbuffers::Vector<uint32_t>;

constexpr uint32_t kNoStoreContactAgeMs = std::numeric_limits<uint32_t>::max();

uint32_t EncodeEra(int64_t position) {
  return static_cast<uint32_t>(StoreEraOf(position));
}

// Returns the position of a revision and its era; 0 if one of them is out of
// range.
int64_t DecodePosition(uint32_t era, int64_t revision) {
  return era <= kMaxStoreEra && revision >= 0 && revision <= kMaxStoreRevision
             ? MakeStorePosition(era, revision)
             : 0;
}

// The revisions of all parts, and their eras.
struct EncodedRevisions {
  Offset<flatbuffers::Vector<int64_t>> revisions;
  Offset<flatbuffers::Vector<uint32_t>> eras;
};

EncodedRevisions EncodeRevisions(FlatBufferBuilder& builder,
                                 const ReplicaRevisions& positions) {
  std::vector<int64_t> revisions;
  std::vector<uint32_t> eras;
  for (const int64_t position : positions) {
    revisions.push_back(StoreRevisionOf(position));
    eras.push_back(EncodeEra(position));
  }
  return {builder.CreateVector(revisions), builder.CreateVector(eras)};
}

Offset<flatbuffers::Vector<uint8_t>> EncodeBytes(FlatBufferBuilder& builder,
                                                 std::string_view bytes) {
  return builder.CreateVector(reinterpret_cast<const uint8_t*>(bytes.data()),
                              bytes.size());
}

std::string DecodeBytes(const flatbuffers::Vector<uint8_t>* wire) {
  return wire == nullptr
             ? std::string()
             : std::string(reinterpret_cast<const char*>(wire->data()),
                           wire->size());
}

Offset<replicawire::Entry> EncodeEntry(FlatBufferBuilder& builder,
                                       const StoreEntry& entry,
                                       bool is_removed,
                                       size_t max_value_bytes) {
  const bool is_omitted = entry.value.size() > max_value_bytes;
  const auto key = builder.CreateString(entry.key);
  const auto value = EncodeBytes(builder, is_omitted ? "" : entry.value);
  return replicawire::CreateEntry(
      builder, key, value, StoreRevisionOf(entry.create_revision),
      StoreRevisionOf(entry.mod_revision), is_removed,
      is_omitted ? static_cast<uint32_t>(entry.value.size()) : 0,
      EncodeEra(entry.create_revision), EncodeEra(entry.mod_revision));
}

StoreEntry DecodeEntry(const replicawire::Entry& wire) {
  StoreEntry entry;
  if (wire.key() != nullptr) {
    entry.key = wire.key()->str();
  }
  entry.value = DecodeBytes(wire.value());
  entry.create_revision =
      DecodePosition(wire.create_era(), wire.create_revision());
  entry.mod_revision = DecodePosition(wire.mod_era(), wire.mod_revision());
  return entry;
}

// Visitor that serializes one alternative of ReplicaMessage.
struct MessageEncoder {
  FlatBufferBuilder& builder;
  size_t max_value_bytes;

  Offset<replicawire::Message> operator()(const SubscribeMessage& message) {
    const auto encoded = EncodeRevisions(builder, message.revisions);
    return BuildMessage(replicawire::Body::Subscribe,
                        replicawire::CreateSubscribe(
                            builder, encoded.revisions,
                            message.accepts_omitted_values, encoded.eras)
                            .Union());
  }
  Offset<replicawire::Message> operator()(const SnapshotMessage& message) {
    std::vector<Offset<replicawire::Entry>> entries;
    for (const StoreEntry& entry : message.entries) {
      entries.push_back(
          EncodeEntry(builder, entry, /*is_removed=*/false, max_value_bytes));
    }
    const auto vector = builder.CreateVector(entries);
    return BuildMessage(
        replicawire::Body::Snapshot,
        replicawire::CreateSnapshot(builder, static_cast<uint8_t>(message.part),
                                    StoreRevisionOf(message.revision),
                                    message.is_after_outage, message.is_last,
                                    vector, EncodeEra(message.revision))
            .Union());
  }
  Offset<replicawire::Message> operator()(const ChangesMessage& message) {
    std::vector<Offset<replicawire::Entry>> entries;
    for (const StoreChange& change : message.changes.changes) {
      entries.push_back(EncodeEntry(builder, change.entry, change.is_removed,
                                    max_value_bytes));
    }
    const auto vector = builder.CreateVector(entries);
    return BuildMessage(
        replicawire::Body::Changes,
        replicawire::CreateChanges(
            builder, static_cast<uint8_t>(message.part),
            StoreRevisionOf(message.changes.after_revision),
            StoreRevisionOf(message.changes.revision), vector,
            message.is_after_outage, EncodeEra(message.changes.after_revision),
            EncodeEra(message.changes.revision))
            .Union());
  }
  Offset<replicawire::Message> operator()(const FreshnessMessage& message) {
    const auto encoded = EncodeRevisions(builder, message.revisions);
    const double age_ms = ToMilliseconds(message.store_contact_age);
    const uint32_t age = age_ms < kNoStoreContactAgeMs
                             ? static_cast<uint32_t>(std::max(age_ms, 0.0))
                             : kNoStoreContactAgeMs;
    return BuildMessage(replicawire::Body::Freshness,
                        replicawire::CreateFreshness(builder, encoded.revisions,
                                                     age, encoded.eras)
                            .Union());
  }

  Offset<replicawire::Message> operator()(const FetchValueMessage& message) {
    const auto key = builder.CreateString(message.version.key);
    return BuildMessage(
        replicawire::Body::FetchValue,
        replicawire::CreateFetchValue(
            builder, static_cast<uint8_t>(message.version.part), key,
            StoreRevisionOf(message.version.mod_revision),
            StoreRevisionOf(message.base_revision), message.offset,
            message.size, EncodeEra(message.version.mod_revision),
            EncodeEra(message.base_revision))
            .Union());
  }
  Offset<replicawire::Message> operator()(const ValueChunkMessage& message) {
    const auto key = builder.CreateString(message.version.key);
    const auto bytes = EncodeBytes(builder, message.bytes);
    return BuildMessage(
        replicawire::Body::ValueChunk,
        replicawire::CreateValueChunk(
            builder, static_cast<uint8_t>(message.version.part), key,
            StoreRevisionOf(message.version.mod_revision),
            StoreRevisionOf(message.base_revision), message.transfer_digest,
            message.transfer_size, message.offset, bytes,
            EncodeEra(message.version.mod_revision),
            EncodeEra(message.base_revision))
            .Union());
  }

  Offset<replicawire::Message> BuildMessage(replicawire::Body type,
                                            Offset<void> body) {
    return replicawire::CreateMessage(builder, type, body);
  }
};

std::optional<ReplicaRevisions> DecodeRevisions(const WireRevisions* wire,
                                                const WireEras* eras) {
  if (wire == nullptr || wire->size() != kReplicaPartCount) {
    return std::nullopt;
  }
  const bool has_eras = eras != nullptr && eras->size() == kReplicaPartCount;
  ReplicaRevisions revisions = {};
  for (flatbuffers::uoffset_t i = 0; i < kReplicaPartCount; ++i) {
    revisions.at(i) = DecodePosition(has_eras ? eras->Get(i) : 0, wire->Get(i));
  }
  return revisions;
}

std::optional<ReplicaPart> DecodePart(uint8_t part) {
  if (part >= kReplicaPartCount) {
    return std::nullopt;
  }
  return static_cast<ReplicaPart>(part);
}

std::optional<ReplicaMessage> DecodeSubscribe(
    const replicawire::Subscribe& wire) {
  const auto revisions = DecodeRevisions(wire.revisions(), wire.eras());
  if (!revisions) {
    return std::nullopt;
  }
  return SubscribeMessage{
      .revisions = *revisions,
      .accepts_omitted_values = wire.accepts_omitted_values()};
}

// Adds the version of the entry's value to `omitted_values` if the value is not
// in the message.
void AddIfOmitted(ReplicaPart part,
                  const replicawire::Entry& wire,
                  const StoreEntry& entry,
                  std::vector<ValueVersion>& omitted_values) {
  if (wire.omitted_bytes() > 0 && !wire.is_removed()) {
    omitted_values.push_back({part, entry.key, entry.mod_revision});
  }
}

std::optional<ReplicaMessage> DecodeSnapshot(
    const replicawire::Snapshot& wire) {
  const auto part = DecodePart(wire.part());
  const int64_t revision = DecodePosition(wire.era(), wire.revision());
  if (!part || revision <= 0) {
    return std::nullopt;
  }
  SnapshotMessage message = {.part = *part,
                             .revision = revision,
                             .is_after_outage = wire.is_after_outage(),
                             .is_last = wire.is_last()};
  if (wire.entries() != nullptr) {
    for (const replicawire::Entry* const entry : *wire.entries()) {
      message.entries.push_back(DecodeEntry(*entry));
      AddIfOmitted(*part, *entry, message.entries.back(),
                   message.omitted_values);
    }
  }
  return message;
}

std::optional<ReplicaMessage> DecodeChanges(const replicawire::Changes& wire) {
  const auto part = DecodePart(wire.part());
  const int64_t after_revision =
      DecodePosition(wire.after_era(), wire.after_revision());
  const int64_t revision = DecodePosition(wire.era(), wire.revision());
  if (!part || after_revision <= 0 || revision < after_revision) {
    return std::nullopt;
  }
  ChangesMessage message = {.part = *part,
                            .is_after_outage = wire.is_after_outage()};
  message.changes.after_revision = after_revision;
  message.changes.revision = revision;
  if (wire.entries() != nullptr) {
    for (const replicawire::Entry* const entry : *wire.entries()) {
      message.changes.changes.push_back(
          {.entry = DecodeEntry(*entry), .is_removed = entry->is_removed()});
      AddIfOmitted(*part, *entry, message.changes.changes.back().entry,
                   message.omitted_values);
    }
  }
  return message;
}

std::optional<ReplicaMessage> DecodeFreshness(
    const replicawire::Freshness& wire) {
  const auto revisions = DecodeRevisions(wire.revisions(), wire.eras());
  if (!revisions) {
    return std::nullopt;
  }
  FreshnessMessage message = {.revisions = *revisions};
  if (wire.store_contact_age_ms() != kNoStoreContactAgeMs) {
    message.store_contact_age =
        std::chrono::milliseconds(wire.store_contact_age_ms());
  }
  return message;
}

std::optional<ValueVersion> DecodeVersion(uint8_t wire_part,
                                          const flatbuffers::String* key,
                                          int64_t mod_revision) {
  const auto part = DecodePart(wire_part);
  if (!part || key == nullptr || mod_revision <= 0) {
    return std::nullopt;
  }
  return ValueVersion{*part, key->str(), mod_revision};
}

std::optional<ReplicaMessage> DecodeFetchValue(
    const replicawire::FetchValue& wire) {
  auto version =
      DecodeVersion(wire.part(), wire.key(),
                    DecodePosition(wire.mod_era(), wire.mod_revision()));
  if (!version) {
    return std::nullopt;
  }
  return FetchValueMessage{
      .version = *std::move(version),
      .base_revision = DecodePosition(wire.base_era(), wire.base_revision()),
      .offset = wire.offset(),
      .size = wire.size()};
}

std::optional<ReplicaMessage> DecodeValueChunk(
    const replicawire::ValueChunk& wire) {
  auto version =
      DecodeVersion(wire.part(), wire.key(),
                    DecodePosition(wire.mod_era(), wire.mod_revision()));
  if (!version) {
    return std::nullopt;
  }
  return ValueChunkMessage{
      .version = *std::move(version),
      .base_revision = DecodePosition(wire.base_era(), wire.base_revision()),
      .transfer_digest = wire.transfer_digest(),
      .transfer_size = wire.transfer_size(),
      .offset = wire.offset(),
      .bytes = DecodeBytes(wire.bytes())};
}

std::optional<ReplicaMessage> DecodeBody(const replicawire::Message& message) {
  switch (message.body_type()) {
    case replicawire::Body::Subscribe:
      return DecodeSubscribe(*message.body_as_Subscribe());
    case replicawire::Body::Snapshot:
      return DecodeSnapshot(*message.body_as_Snapshot());
    case replicawire::Body::Changes:
      return DecodeChanges(*message.body_as_Changes());
    case replicawire::Body::Freshness:
      return DecodeFreshness(*message.body_as_Freshness());
    case replicawire::Body::FetchValue:
      return DecodeFetchValue(*message.body_as_FetchValue());
    case replicawire::Body::ValueChunk:
      return DecodeValueChunk(*message.body_as_ValueChunk());
    default:
      return std::nullopt;
  }
}

}  // namespace

std::string EncodeReplicaMessage(const ReplicaMessage& message,
                                 size_t max_value_bytes) {
  FlatBufferBuilder builder;
  builder.Finish(std::visit(MessageEncoder{builder, max_value_bytes}, message));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

Result<ReplicaMessage> DecodeReplicaMessage(std::string_view bytes) {
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()),
                                 bytes.size());
  if (replicawire::VerifyMessageBuffer(verifier)) {
    const auto* const wire = replicawire::GetMessage(bytes.data());
    // The verifier accepts a message that has a body type but no body.
    if (wire->body() != nullptr) {
      if (auto message = DecodeBody(*wire)) {
        return *std::move(message);
      }
    }
  }
  return tl::unexpected(make_error_code(Error::kMalformed));
}

}  // namespace peridotmill
