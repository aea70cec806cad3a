#ifndef PERIDOTMILL_NET_PEERS_HANDSHAKE_CODEC_H_
#define PERIDOTMILL_NET_PEERS_HANDSHAKE_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/units/units.h"

namespace peridotmill {

inline constexpr size_t kChallengeSize = 32;
inline constexpr size_t kProofSize = 32;
inline constexpr size_t kMaxNodeIdSize = 255;

// First frame of both sides of a connection.
struct HandshakeHello {
  NodeId node;
  Incarnation incarnation;
  // kChallengeSize random bytes, new for each connection.
  std::string challenge;
};

struct HandshakeProof {
  // kProofSize bytes.
  std::string mac;
};

using HandshakeFrame = std::variant<HandshakeHello, HandshakeProof>;

// Whether a payload is marked as part of a handshake; it may be malformed.
bool IsHandshakeFrame(std::string_view payload);

std::string EncodeHandshakeFrame(const HandshakeFrame& frame);
// Errors: kMalformed.
Result<HandshakeFrame> DecodeHandshakeFrame(std::string_view payload);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_PEERS_HANDSHAKE_CODEC_H_
