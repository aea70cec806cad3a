#include <variant>

#include "peridotmill_membership/codec/peer_codec.h"
#include "peridotmill_membership/schema/peer_wire.h"

namespace peridotmill {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using Text = flatbuffers::Offset<flatbuffers::String>;
template <typename T>
using Tables = flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<T>>>;

constexpr uint8_t kLeavingFlag = 1;
constexpr uint8_t kUnreachableFlag = 2;

// Absent fields read back as empty, so empty text costs no bytes.
Text PutText(Builder& builder, const std::string& text) {
  return text.empty() ? Text() : builder.CreateString(text);
}

template <typename Tag>
Text PutText(Builder& builder, const StrongId<Tag>& id) {
  return PutText(builder, id.value());
}

wire::State ToWire(MemberState state) {
  return static_cast<wire::State>(state);
}

wire::ClaimStatus ToWire(ClaimStatus status) {
  return static_cast<wire::ClaimStatus>(status);
}

wire::LookupStatus ToWire(LookupStatus status) {
  return static_cast<wire::LookupStatus>(status);
}

wire::EndpointValue ToWire(const EndpointValue& value) {
  const auto flags =
      static_cast<uint8_t>((value.is_leaving ? kLeavingFlag : 0) |
                           (value.is_unreachable ? kUnreachableFlag : 0));
  return {value.endpoint,        value.running,    value.waiting,
          value.incarnation_tag, value.memory_use, flags};
}

wire::CacheHint ToWire(const CacheHint& hint) {
  return {hint.endpoint, hint.prefix};
}

wire::PoolSummary ToWire(const PoolSummary& pool) {
  return {pool.pool, pool.capacity, pool.load, pool.live_endpoints};
}

wire::EndpointStamp ToWire(const EndpointStamp& stamp) {
  return {stamp.endpoint, stamp.value_hash, stamp.age_ms};
}

wire::AgedValue ToWire(const AgedEndpointValue& aged) {
  return {ToWire(aged.value), aged.age_ms};
}

// Vector of wire structs, or none when empty.
template <typename T>
auto PutStructs(Builder& builder, const std::vector<T>& items) {
  using Wire = decltype(ToWire(items.front()));
  flatbuffers::Offset<flatbuffers::Vector<const Wire*>> offset;
  if (items.empty()) {
    return offset;
  }
  std::vector<Wire> wire_items;
  wire_items.reserve(items.size());
  for (const T& item : items) {
    wire_items.push_back(ToWire(item));
  }
  offset = builder.CreateVectorOfStructs(wire_items);
  return offset;
}

Tables<wire::Member> PutMembers(Builder& builder,
                                const std::vector<Member>& members) {
  if (members.empty()) {
    return {};
  }
  std::vector<flatbuffers::Offset<wire::Member>> offsets;
  offsets.reserve(members.size());
  for (const Member& member : members) {
    const Text node = PutText(builder, member.node);
    const Text address = PutText(builder, member.address);
    // One copy serves all members of a domain.
    const Text domain =
        builder.CreateSharedString(member.failure_domain.value());
    offsets.push_back(wire::CreateMember(
        builder, node, address, domain, member.incarnation.value(),
        member.heartbeat, ToWire(member.state)));
  }
  return builder.CreateVector(offsets);
}

Tables<wire::EndpointModels> PutModels(
    Builder& builder,
    const std::vector<EndpointModels>& models) {
  if (models.empty()) {
    return {};
  }
  std::vector<flatbuffers::Offset<wire::EndpointModels>> offsets;
  offsets.reserve(models.size());
  for (const EndpointModels& entry : models) {
    offsets.push_back(wire::CreateEndpointModels(
        builder, entry.endpoint, builder.CreateVector(entry.models)));
  }
  return builder.CreateVector(offsets);
}

auto Put(Builder& builder, const HeartbeatMessage& message) {
  const wire::Pulse pulse(message.incarnation.value(),
                          static_cast<uint32_t>(message.revision.value()),
                          message.counter, message.report_sequence,
                          ToWire(message.state));
  return wire::CreateHeartbeat(builder, PutText(builder, message.node), &pulse);
}

auto Put(Builder& builder, const MemberDeltaMessage& message) {
  return wire::CreateMemberDelta(builder, PutMembers(builder, message.members));
}

auto Put(Builder& builder, const LeavingMessage& message) {
  return wire::CreateLeaving(builder, PutText(builder, message.node),
                             message.incarnation.value(), message.heartbeat);
}

auto Put(Builder& builder, const ConfigHeadMessage& message) {
  return wire::CreateConfigHead(builder, PutText(builder, message.text));
}

auto Put(Builder& builder, const ConfigPartRequestMessage& message) {
  return wire::CreateConfigPartRequest(builder,
                                       PutText(builder, message.digest));
}

auto Put(Builder& builder, const ConfigPartMessage& message) {
  const Text digest = PutText(builder, message.digest);
  const Text content = PutText(builder, message.content);
  return wire::CreateConfigPart(builder, digest, content, message.found);
}

auto Put(Builder& builder, const EndpointReportsMessage& message) {
  const auto values = PutStructs(builder, message.values);
  const auto models = PutModels(builder, message.models);
  return wire::CreateEndpointReports(builder,
                                     message.reader_incarnation.value(),
                                     message.sequence, values, models);
}

auto Put(Builder& builder, const CacheHintsMessage& message) {
  const auto held = PutStructs(builder, message.held);
  const auto evicted = PutStructs(builder, message.evicted);
  return wire::CreateCacheHints(builder, held, evicted);
}

// Two vectors, because a struct of both would be padded from 10 to 16 bytes.
auto Put(Builder& builder, const TeamUseMessage& message) {
  std::vector<uint64_t> teams;
  std::vector<uint16_t> use;
  for (const TeamUseEntry& entry : message.entries) {
    teams.push_back(entry.team);
    use.push_back(entry.use);
  }
  const auto team_offset = builder.CreateVector(teams);
  const auto use_offset = builder.CreateVector(use);
  return wire::CreateTeamUse(builder, team_offset, use_offset);
}

auto Put(Builder& builder, const DomainSummaryMessage& message) {
  return wire::CreateDomainSummary(builder, PutStructs(builder, message.pools));
}

auto Put(Builder& builder, const DigestMessage& message) {
  return wire::CreateDigest(builder, message.members_hash,
                            PutStructs(builder, message.endpoints));
}

auto Put(Builder& builder, const DigestReplyMessage& message) {
  const auto values = PutStructs(builder, message.values);
  const auto models = PutModels(builder, message.models);
  const auto members = PutMembers(builder, message.members);
  return wire::CreateDigestReply(builder, values, models, members);
}

auto PutAnswer(Builder& builder, const ActionAnswer& answer) {
  const Text body = PutText(builder, answer.body);
  const Text digest = PutText(builder, answer.digest);
  return wire::CreateActionAnswer(
      builder, static_cast<wire::Execution>(answer.execution),
      answer.http_status, body, digest);
}

auto Put(Builder& builder, const ClaimRequest& message) {
  const Text team = PutText(builder, message.team);
  const Text key = PutText(builder, message.key);
  const Text digest = PutText(builder, message.request_digest);
  const Text nonce = PutText(builder, message.nonce);
  const Text claimant = PutText(builder, message.claimant);
  return wire::CreateClaimRequest(builder, team, key, digest, nonce, claimant,
                                  message.claimant_incarnation.value(),
                                  message.time_left.count());
}

auto Put(Builder& builder, const ClaimReply& message) {
  const Text nonce = PutText(builder, message.nonce);
  const auto answer = PutAnswer(builder, message.answer);
  const Text holder = PutText(builder, message.holder);
  return wire::CreateClaimReply(builder, nonce, ToWire(message.status), answer,
                                holder, message.holder_incarnation.value());
}

auto Put(Builder& builder, const OutcomeRecord& message) {
  const Text team = PutText(builder, message.team);
  const Text key = PutText(builder, message.key);
  const Text nonce = PutText(builder, message.nonce);
  const auto answer = PutAnswer(builder, message.answer);
  return wire::CreateOutcomeRecord(builder, team, key, nonce, message.is_void,
                                   answer);
}

auto Put(Builder& builder, const OutcomeAck& message) {
  return wire::CreateOutcomeAck(builder, PutText(builder, message.nonce));
}

auto Put(Builder& builder, const ActionLookup& message) {
  const Text request = PutText(builder, message.request);
  const Text team = PutText(builder, message.team);
  const Text key = PutText(builder, message.key);
  return wire::CreateActionLookup(builder, request, team, key);
}

auto Put(Builder& builder, const ActionLookupReply& message) {
  const Text request = PutText(builder, message.request);
  const auto answer = PutAnswer(builder, message.answer);
  const Text holder = PutText(builder, message.holder);
  return wire::CreateActionLookupReply(builder, request, ToWire(message.status),
                                       answer, holder,
                                       message.holder_incarnation.value());
}

template <typename T>
wire::Body BodyOf(flatbuffers::Offset<T>) {
  return wire::BodyTraits<T>::enum_value;
}

}  // namespace

std::string EncodePeerFrame(const std::vector<PeerMessage>& messages) {
  Builder builder(256);
  std::vector<wire::Body> types;
  std::vector<flatbuffers::Offset<void>> bodies;
  for (const PeerMessage& message : messages) {
    std::visit(
        [&](const auto& body) {
          const auto offset = Put(builder, body);
          types.push_back(BodyOf(offset));
          bodies.push_back(offset.Union());
        },
        message);
  }
  const auto type_offset = builder.CreateVector(types);
  const auto body_offset = builder.CreateVector(bodies);
  builder.Finish(wire::CreateFrame(builder, type_offset, body_offset));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::string EncodePeerMessage(const PeerMessage& message) {
  return EncodePeerFrame({message});
}

}  // namespace peridotmill
