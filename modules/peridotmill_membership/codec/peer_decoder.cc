#include <algorithm>
#include <cstring>
#include <utility>

#include "peridotmill_membership/codec/peer_codec.h"
#include "peridotmill_membership/schema/peer_wire.h"

namespace peridotmill {
namespace {

constexpr uint8_t kLeavingFlag = 1;
constexpr uint8_t kUnreachableFlag = 2;

std::string TextOf(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

// A newer version's state reads as the most careful known one.
MemberState FromWire(wire::State state) {
  return std::min(static_cast<MemberState>(state), MemberState::kDead);
}

// A newer version's status reads as "ask again".
ClaimStatus FromWire(wire::ClaimStatus status) {
  const auto value = static_cast<ClaimStatus>(status);
  return value <= ClaimStatus::kTableFull ? value : ClaimStatus::kPending;
}

LookupStatus FromWire(wire::LookupStatus status) {
  const auto value = static_cast<LookupStatus>(status);
  return value <= LookupStatus::kStoreUnavailable
             ? value
             : LookupStatus::kStoreUnavailable;
}

ActionAnswer FromWire(const wire::ActionAnswer* answer) {
  ActionAnswer result;
  result.execution = Execution::kUnknown;
  if (answer == nullptr) {
    return result;
  }
  result.execution = std::min(static_cast<Execution>(answer->execution()),
                              Execution::kUnknown);
  result.http_status = answer->http_status();
  result.body = TextOf(answer->body());
  result.digest = TextOf(answer->digest());
  return result;
}

EndpointValue FromWire(const wire::EndpointValue& value) {
  EndpointValue result;
  result.endpoint = value.endpoint();
  result.running = value.running();
  result.waiting = value.waiting();
  result.incarnation_tag = value.incarnation_tag();
  result.memory_use = value.memory_use();
  result.is_leaving = (value.flags() & kLeavingFlag) != 0;
  result.is_unreachable = (value.flags() & kUnreachableFlag) != 0;
  return result;
}

CacheHint FromWire(const wire::CacheHint& hint) {
  return {hint.endpoint(), hint.prefix()};
}

PoolSummary FromWire(const wire::PoolSummary& pool) {
  return {pool.pool(), pool.capacity(), pool.load(), pool.live_endpoints()};
}

EndpointStamp FromWire(const wire::EndpointStamp& stamp) {
  return {stamp.endpoint(), stamp.value_hash(), stamp.age_ms()};
}

AgedEndpointValue FromWire(const wire::AgedValue& aged) {
  return {FromWire(aged.value()), aged.age_ms()};
}

Member FromWire(const wire::Member& member) {
  Member result;
  result.node = NodeId(TextOf(member.node()));
  result.address = TextOf(member.address());
  result.failure_domain = FailureDomainId(TextOf(member.failure_domain()));
  result.incarnation = Incarnation(member.incarnation());
  result.state = FromWire(member.state());
  result.heartbeat = member.heartbeat();
  return result;
}

EndpointModels FromWire(const wire::EndpointModels& entry) {
  EndpointModels result;
  result.endpoint = entry.endpoint();
  if (entry.models() != nullptr) {
    result.models.assign(entry.models()->begin(), entry.models()->end());
  }
  return result;
}

template <typename T, typename Vector>
void ReadAll(const Vector* items, std::vector<T>& into) {
  if (items == nullptr) {
    return;
  }
  into.reserve(items->size());
  for (const auto* item : *items) {
    into.push_back(FromWire(*item));
  }
}

PeerMessage Read(const wire::Heartbeat& body) {
  HeartbeatMessage message;
  message.node = NodeId(TextOf(body.node()));
  if (body.pulse() != nullptr) {
    message.incarnation = Incarnation(body.pulse()->incarnation());
    message.state = FromWire(body.pulse()->state());
    message.revision = Revision(body.pulse()->revision());
    message.counter = body.pulse()->counter();
    message.report_sequence = body.pulse()->report_sequence();
  }
  return message;
}

PeerMessage Read(const wire::MemberDelta& body) {
  MemberDeltaMessage message;
  ReadAll(body.members(), message.members);
  return message;
}

PeerMessage Read(const wire::Leaving& body) {
  return LeavingMessage{NodeId(TextOf(body.node())),
                        Incarnation(body.incarnation()), body.heartbeat()};
}

PeerMessage Read(const wire::ConfigHead& body) {
  return ConfigHeadMessage{TextOf(body.text())};
}

PeerMessage Read(const wire::ConfigPartRequest& body) {
  return ConfigPartRequestMessage{TextOf(body.digest())};
}

PeerMessage Read(const wire::ConfigPart& body) {
  return ConfigPartMessage{TextOf(body.digest()), TextOf(body.content()),
                           body.found()};
}

PeerMessage Read(const wire::EndpointReports& body) {
  EndpointReportsMessage message;
  message.reader_incarnation = Incarnation(body.reader_incarnation());
  message.sequence = body.sequence();
  ReadAll(body.values(), message.values);
  ReadAll(body.models(), message.models);
  return message;
}

PeerMessage Read(const wire::CacheHints& body) {
  CacheHintsMessage message;
  ReadAll(body.held(), message.held);
  ReadAll(body.evicted(), message.evicted);
  return message;
}

PeerMessage Read(const wire::TeamUse& body) {
  TeamUseMessage message;
  if (body.teams() != nullptr && body.use() != nullptr) {
    const auto count = std::min(body.teams()->size(), body.use()->size());
    for (flatbuffers::uoffset_t i = 0; i < count; ++i) {
      message.entries.push_back({body.teams()->Get(i), body.use()->Get(i)});
    }
  }
  return message;
}

PeerMessage Read(const wire::DomainSummary& body) {
  DomainSummaryMessage message;
  ReadAll(body.pools(), message.pools);
  return message;
}

PeerMessage Read(const wire::Digest& body) {
  DigestMessage message;
  message.members_hash = body.members_hash();
  ReadAll(body.endpoints(), message.endpoints);
  return message;
}

PeerMessage Read(const wire::DigestReply& body) {
  DigestReplyMessage message;
  ReadAll(body.values(), message.values);
  ReadAll(body.models(), message.models);
  ReadAll(body.members(), message.members);
  return message;
}

PeerMessage Read(const wire::ClaimRequest& body) {
  ClaimRequest message;
  message.team = TeamId(TextOf(body.team()));
  message.key = IdempotencyKey(TextOf(body.key()));
  message.request_digest = TextOf(body.digest());
  message.nonce = Nonce(TextOf(body.nonce()));
  message.claimant = NodeId(TextOf(body.claimant()));
  message.claimant_incarnation = Incarnation(body.claimant_incarnation());
  message.time_left = std::chrono::milliseconds(body.time_left_ms());
  return message;
}

PeerMessage Read(const wire::ClaimReply& body) {
  return ClaimReply{Nonce(TextOf(body.nonce())), FromWire(body.status()),
                    FromWire(body.answer()), NodeId(TextOf(body.holder())),
                    Incarnation(body.holder_incarnation())};
}

PeerMessage Read(const wire::OutcomeRecord& body) {
  return OutcomeRecord{
      TeamId(TextOf(body.team())), IdempotencyKey(TextOf(body.key())),
      Nonce(TextOf(body.nonce())), body.is_void(), FromWire(body.answer())};
}

PeerMessage Read(const wire::OutcomeAck& body) {
  return OutcomeAck{Nonce(TextOf(body.nonce()))};
}

PeerMessage Read(const wire::ActionLookup& body) {
  return ActionLookup{RequestId(TextOf(body.request())),
                      TeamId(TextOf(body.team())),
                      IdempotencyKey(TextOf(body.key()))};
}

PeerMessage Read(const wire::ActionLookupReply& body) {
  return ActionLookupReply{RequestId(TextOf(body.request())),
                           FromWire(body.status()), FromWire(body.answer()),
                           NodeId(TextOf(body.holder())),
                           Incarnation(body.holder_incarnation())};
}

template <typename T>
PeerMessage ReadAs(const void* body) {
  return Read(*static_cast<const T*>(body));
}

Result<PeerMessage> ReadBody(wire::Body type, const void* body) {
  switch (type) {
    case wire::Body::Heartbeat:
      return ReadAs<wire::Heartbeat>(body);
    case wire::Body::MemberDelta:
      return ReadAs<wire::MemberDelta>(body);
    case wire::Body::Leaving:
      return ReadAs<wire::Leaving>(body);
    case wire::Body::ConfigHead:
      return ReadAs<wire::ConfigHead>(body);
    case wire::Body::ConfigPartRequest:
      return ReadAs<wire::ConfigPartRequest>(body);
    case wire::Body::ConfigPart:
      return ReadAs<wire::ConfigPart>(body);
    case wire::Body::EndpointReports:
      return ReadAs<wire::EndpointReports>(body);
    case wire::Body::CacheHints:
      return ReadAs<wire::CacheHints>(body);
    case wire::Body::TeamUse:
      return ReadAs<wire::TeamUse>(body);
    case wire::Body::DomainSummary:
      return ReadAs<wire::DomainSummary>(body);
    case wire::Body::Digest:
      return ReadAs<wire::Digest>(body);
    case wire::Body::DigestReply:
      return ReadAs<wire::DigestReply>(body);
    case wire::Body::ClaimRequest:
      return ReadAs<wire::ClaimRequest>(body);
    case wire::Body::ClaimReply:
      return ReadAs<wire::ClaimReply>(body);
    case wire::Body::OutcomeRecord:
      return ReadAs<wire::OutcomeRecord>(body);
    case wire::Body::OutcomeAck:
      return ReadAs<wire::OutcomeAck>(body);
    case wire::Body::ActionLookup:
      return ReadAs<wire::ActionLookup>(body);
    case wire::Body::ActionLookupReply:
      return ReadAs<wire::ActionLookupReply>(body);
    case wire::Body::NONE:
      break;
  }
  return tl::unexpected(make_error_code(Error::kMalformed));
}

}  // namespace

Result<std::vector<PeerMessage>> DecodePeerFrame(std::string_view payload) {
  if (payload.size() > kMaxPeerPayload) {
    return tl::unexpected(make_error_code(Error::kTooLarge));
  }
  // The verifier checks alignment by address, so the bytes must be aligned.
  std::vector<uint64_t> aligned((payload.size() + 7) / 8);
  if (!payload.empty()) {
    std::memcpy(aligned.data(), payload.data(), payload.size());
  }
  const auto* bytes = reinterpret_cast<const uint8_t*>(aligned.data());
  flatbuffers::Verifier verifier(bytes, payload.size());
  if (payload.size() < sizeof(flatbuffers::uoffset_t) ||
      !wire::VerifyFrameBuffer(verifier)) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  const wire::Frame& frame = *wire::GetFrame(bytes);
  if (frame.bodies() == nullptr || frame.bodies_type() == nullptr ||
      frame.bodies()->size() == 0 ||
      frame.bodies()->size() != frame.bodies_type()->size()) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  std::vector<PeerMessage> messages;
  for (flatbuffers::uoffset_t i = 0; i < frame.bodies()->size(); ++i) {
    Result<PeerMessage> message = ReadBody(
        frame.bodies_type()->GetEnum<wire::Body>(i), frame.bodies()->Get(i));
    if (!message) {
      return tl::unexpected(message.error());
    }
    messages.push_back(std::move(*message));
  }
  return messages;
}

Result<PeerMessage> DecodePeerMessage(std::string_view payload) {
  Result<std::vector<PeerMessage>> messages = DecodePeerFrame(payload);
  if (!messages) {
    return tl::unexpected(messages.error());
  }
  if (messages->size() != 1) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  return std::move(messages->front());
}

}  // namespace peridotmill
