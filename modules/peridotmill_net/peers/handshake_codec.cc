#include "peridotmill_net/peers/handshake_codec.h"

#include "peridotmill_net/peers/schema/handshake_wire.h"

namespace peridotmill {
namespace {

namespace wire = handshake_wire;
using Bytes = flatbuffers::Vector<uint8_t>;

flatbuffers::Offset<Bytes> CreateBytes(flatbuffers::FlatBufferBuilder& builder,
                                       const std::string& bytes) {
  return builder.CreateVector(reinterpret_cast<const uint8_t*>(bytes.data()),
                              bytes.size());
}

std::string ReadBytes(const Bytes& bytes) {
  return {bytes.begin(), bytes.end()};
}

flatbuffers::Offset<wire::Frame> CreateFrame(
    flatbuffers::FlatBufferBuilder& builder,
    const HandshakeHello& hello) {
  const auto node = builder.CreateString(hello.node.value());
  const auto challenge = CreateBytes(builder, hello.challenge);
  const auto body =
      wire::CreateHello(builder, node, hello.incarnation.value(), challenge);
  return wire::CreateFrame(builder, wire::Body::Hello, body.Union());
}

flatbuffers::Offset<wire::Frame> CreateFrame(
    flatbuffers::FlatBufferBuilder& builder,
    const HandshakeProof& proof) {
  const auto body = wire::CreateProof(builder, CreateBytes(builder, proof.mac));
  return wire::CreateFrame(builder, wire::Body::Proof, body.Union());
}

bool IsValid(const HandshakeHello& hello) {
  return !hello.node.empty() && hello.node.value().size() <= kMaxNodeIdSize &&
         hello.challenge.size() == kChallengeSize;
}

}  // namespace

bool IsHandshakeFrame(std::string_view payload) {
  // The identifier follows the 4-byte offset of the root table.
  return payload.size() >= 8 &&
         payload.substr(4, 4) == std::string_view(wire::FrameIdentifier());
}

std::string EncodeHandshakeFrame(const HandshakeFrame& frame) {
  flatbuffers::FlatBufferBuilder builder;
  const auto root = std::visit(
      [&builder](const auto& body) { return CreateFrame(builder, body); },
      frame);
  wire::FinishFrameBuffer(builder, root);
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

Result<HandshakeFrame> DecodeHandshakeFrame(std::string_view payload) {
  const auto* const data = reinterpret_cast<const uint8_t*>(payload.data());
  flatbuffers::Verifier verifier(data, payload.size());
  if (!IsHandshakeFrame(payload) || !wire::VerifyFrameBuffer(verifier)) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  const wire::Frame& frame = *wire::GetFrame(data);
  if (const auto* const body = frame.body_as_Hello()) {
    HandshakeHello hello{NodeId(body->node_id()->str()),
                         Incarnation(body->incarnation()),
                         ReadBytes(*body->challenge())};
    if (IsValid(hello)) {
      return hello;
    }
  } else if (const auto* const body = frame.body_as_Proof()) {
    HandshakeProof proof{ReadBytes(*body->mac())};
    if (proof.mac.size() == kProofSize) {
      return proof;
    }
  }
  return tl::unexpected(make_error_code(Error::kMalformed));
}

}  // namespace peridotmill
