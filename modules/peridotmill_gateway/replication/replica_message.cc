#include "peridotmill_gateway/replication/replica_message.h"

#include <algorithm>
#include <limits>
#include <optional>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/replication/schema/replica_wire.h"

namespace peridotmill {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using WireEntries = flatbuffers::Vector<Offset<replicawire::Entry>>;
using WireRevisions = flatbuffers::Vector<int64_t>;

constexpr uint32_t kNoStoreContactAgeMs = std::numeric_limits<uint32_t>::max();

Offset<replicawire::Entry> EncodeEntry(FlatBufferBuilder& builder,
                                       const StoreEntry& entry,
                                       bool is_removed) {
  const auto key = builder.CreateString(entry.key);
  const auto value = builder.CreateVector(
      reinterpret_cast<const uint8_t*>(entry.value.data()), entry.value.size());
  return replicawire::CreateEntry(builder, key, value, entry.create_revision,
                                  entry.mod_revision, is_removed);
}

StoreEntry DecodeEntry(const replicawire::Entry& wire) {
  StoreEntry entry;
  if (wire.key() != nullptr) {
    entry.key = wire.key()->str();
  }
  if (wire.value() != nullptr) {
    entry.value.assign(reinterpret_cast<const char*>(wire.value()->data()),
                       wire.value()->size());
  }
  entry.create_revision = wire.create_revision();
  entry.mod_revision = wire.mod_revision();
  return entry;
}

// Visitor that serializes one alternative of ReplicaMessage.
struct MessageEncoder {
  FlatBufferBuilder& builder;

  Offset<replicawire::Message> operator()(const SubscribeMessage& message) {
    const auto revisions = builder.CreateVector(message.revisions.data(),
                                                message.revisions.size());
    return BuildMessage(
        replicawire::Body::Subscribe,
        replicawire::CreateSubscribe(builder, revisions).Union());
  }
  Offset<replicawire::Message> operator()(const SnapshotMessage& message) {
    std::vector<Offset<replicawire::Entry>> entries;
    for (const StoreEntry& entry : message.entries) {
      entries.push_back(EncodeEntry(builder, entry, /*is_removed=*/false));
    }
    const auto vector = builder.CreateVector(entries);
    return BuildMessage(
        replicawire::Body::Snapshot,
        replicawire::CreateSnapshot(builder, static_cast<uint8_t>(message.part),
                                    message.revision, message.is_after_outage,
                                    message.is_last, vector)
            .Union());
  }
  Offset<replicawire::Message> operator()(const ChangesMessage& message) {
    std::vector<Offset<replicawire::Entry>> entries;
    for (const StoreChange& change : message.changes.changes) {
      entries.push_back(EncodeEntry(builder, change.entry, change.is_removed));
    }
    const auto vector = builder.CreateVector(entries);
    return BuildMessage(
        replicawire::Body::Changes,
        replicawire::CreateChanges(builder, static_cast<uint8_t>(message.part),
                                   message.changes.after_revision,
                                   message.changes.revision, vector,
                                   message.is_after_outage)
            .Union());
  }
  Offset<replicawire::Message> operator()(const FreshnessMessage& message) {
    const auto revisions = builder.CreateVector(message.revisions.data(),
                                                message.revisions.size());
    const double age_ms = ToMilliseconds(message.store_contact_age);
    const uint32_t age = age_ms < kNoStoreContactAgeMs
                             ? static_cast<uint32_t>(std::max(age_ms, 0.0))
                             : kNoStoreContactAgeMs;
    return BuildMessage(
        replicawire::Body::Freshness,
        replicawire::CreateFreshness(builder, revisions, age).Union());
  }

  Offset<replicawire::Message> BuildMessage(replicawire::Body type,
                                            Offset<void> body) {
    return replicawire::CreateMessage(builder, type, body);
  }
};

std::optional<ReplicaRevisions> DecodeRevisions(const WireRevisions* wire) {
  if (wire == nullptr || wire->size() != kReplicaPartCount) {
    return std::nullopt;
  }
  ReplicaRevisions revisions = {};
  std::copy(wire->begin(), wire->end(), revisions.begin());
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
  const auto revisions = DecodeRevisions(wire.revisions());
  if (!revisions) {
    return std::nullopt;
  }
  return SubscribeMessage{*revisions};
}

std::optional<ReplicaMessage> DecodeSnapshot(
    const replicawire::Snapshot& wire) {
  const auto part = DecodePart(wire.part());
  if (!part || wire.revision() <= 0) {
    return std::nullopt;
  }
  SnapshotMessage message = {.part = *part,
                             .revision = wire.revision(),
                             .is_after_outage = wire.is_after_outage(),
                             .is_last = wire.is_last()};
  if (wire.entries() != nullptr) {
    for (const replicawire::Entry* const entry : *wire.entries()) {
      message.entries.push_back(DecodeEntry(*entry));
    }
  }
  return message;
}

std::optional<ReplicaMessage> DecodeChanges(const replicawire::Changes& wire) {
  const auto part = DecodePart(wire.part());
  if (!part || wire.after_revision() <= 0 ||
      wire.revision() < wire.after_revision()) {
    return std::nullopt;
  }
  ChangesMessage message = {.part = *part,
                            .is_after_outage = wire.is_after_outage()};
  message.changes.after_revision = wire.after_revision();
  message.changes.revision = wire.revision();
  if (wire.entries() != nullptr) {
    for (const replicawire::Entry* const entry : *wire.entries()) {
      message.changes.changes.push_back(
          {.entry = DecodeEntry(*entry), .is_removed = entry->is_removed()});
    }
  }
  return message;
}

std::optional<ReplicaMessage> DecodeFreshness(
    const replicawire::Freshness& wire) {
  const auto revisions = DecodeRevisions(wire.revisions());
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
    default:
      return std::nullopt;
  }
}

}  // namespace

std::string EncodeReplicaMessage(const ReplicaMessage& message) {
  FlatBufferBuilder builder;
  builder.Finish(std::visit(MessageEncoder{builder}, message));
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
