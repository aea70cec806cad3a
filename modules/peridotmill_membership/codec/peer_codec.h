#ifndef PERIDOTMILL_MEMBERSHIP_CODEC_PEER_CODEC_H_
#define PERIDOTMILL_MEMBERSHIP_CODEC_PEER_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_membership/messages/peer_message.h"

namespace peridotmill {

// Longest payload of a frame: one store value of 1 MB as a configuration part,
// and room for its envelope.
inline constexpr size_t kMaxPeerPayload = (1 << 20) + 4096;

// FlatBuffers payload of one frame, without the length prefix.
std::string EncodePeerMessage(const PeerMessage& message);

// Verifies and reads a payload.
// Errors: kTooLarge, kMalformed.
Result<PeerMessage> DecodePeerMessage(std::string_view payload);

}  // namespace peridotmill

#endif  // PERIDOTMILL_MEMBERSHIP_CODEC_PEER_CODEC_H_
