#include "peridotmill_core/framing/frame_decoder.h"

#include <cassert>
#include <cstdint>

namespace peridotmill {
namespace {

uint32_t ReadPayloadLength(std::string_view bytes) {
  uint32_t length = 0;
  for (size_t i = kFrameHeaderBytes; i > 0; --i) {
    length = length << 8 | static_cast<unsigned char>(bytes[i - 1]);
  }
  return length;
}

}  // namespace

std::string EncodeFrame(std::string_view payload) {
  assert(!payload.empty() && payload.size() <= kMaxPeerPayloadBytes);
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  for (size_t i = 0; i < kFrameHeaderBytes; ++i) {
    frame += static_cast<char>(payload.size() >> (8 * i) & 0xff);
  }
  return frame.append(payload);
}

void FrameDecoder::Append(std::string_view bytes) {
  bytes_.erase(0, consumed_bytes_);
  consumed_bytes_ = 0;
  bytes_.append(bytes);
}

Result<std::optional<std::string>> FrameDecoder::Next() {
  std::string_view rest = bytes_;
  rest.remove_prefix(consumed_bytes_);
  if (rest.size() < kFrameHeaderBytes) {
    return std::nullopt;
  }
  const size_t length = ReadPayloadLength(rest);
  if (length == 0) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  if (length > max_payload_bytes_) {
    return tl::unexpected(make_error_code(Error::kTooLarge));
  }
  if (rest.size() < kFrameHeaderBytes + length) {
    return std::nullopt;
  }
  consumed_bytes_ += kFrameHeaderBytes + length;
  return std::string(rest.substr(kFrameHeaderBytes, length));
}

}  // namespace peridotmill
