#ifndef PERIDOTMILL_CORE_FRAMING_FRAME_DECODER_H_
#define PERIDOTMILL_CORE_FRAMING_FRAME_DECODER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "peridotmill_core/errors/error.h"

namespace peridotmill {

inline constexpr size_t kFrameHeaderBytes = 4;
inline constexpr size_t kMaxPeerPayloadBytes = size_t{2} << 20;

// 4-byte little-endian length and payload.
// @pre the payload is neither empty nor longer than kMaxPeerPayloadBytes.
std::string EncodeFrame(std::string_view payload);

// Splits a byte stream into frames. Holds at most one incomplete frame beyond
// what the last Append added.
class FrameDecoder {
 public:
  explicit FrameDecoder(size_t max_frame) : max_frame_(max_frame) {}

  void set_max_payload_bytes(size_t max_frame) { max_frame_ = max_frame; }

  void Append(std::string_view bytes);

  // Payload of the next complete frame, or nullopt when more bytes are needed.
  // After an error the stream cannot be read further.
  // Errors: kTooLarge as soon as the length is known; kMalformed for an empty
  // frame.
  Result<std::optional<std::string>> Next();

  // Bytes that Next has not returned.
  size_t size() const { return bytes_.size() - start_; }

 private:
  size_t max_frame_;
  std::string bytes_;
  // Bytes before this were returned; they are removed by the next Append.
  size_t start_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_FRAMING_FRAME_DECODER_H_
