#ifndef PERIDOTMILL_MEMBERSHIP_CODEC_PEER_CODEC_H_
#define PERIDOTMILL_MEMBERSHIP_CODEC_PEER_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_membership/messages/peer_message.h"

namespace peridotmill {

// Longest payload of a frame: one store value of 1 MB as a configuration part,
// and room for its envelope.
inline constexpr size_t kMaxPeerPayload = (1 << 20) + 4096;

// FlatBuffers payload of one frame, without the length prefix. Messages for one
// peer that are due at the same time belong in one frame: a frame of its own
// costs each message about 30 bytes.
std::string EncodePeerFrame(const std::vector<PeerMessage>& messages);

// Verifies and reads a payload; messages are in the order of sending.
// Errors: kTooLarge, kMalformed.
Result<std::vector<PeerMessage>> DecodePeerFrame(std::string_view payload);

// A frame of one message.
// Errors of the decoder: kTooLarge, kMalformed.
std::string EncodePeerMessage(const PeerMessage& message);
Result<PeerMessage> DecodePeerMessage(std::string_view payload);

}  // namespace peridotmill

#endif  // PERIDOTMILL_MEMBERSHIP_CODEC_PEER_CODEC_H_
