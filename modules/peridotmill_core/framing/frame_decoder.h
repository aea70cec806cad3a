#ifndef PERIDOTMILL_CORE_FRAMING_FRAME_DECODER_H_
#define PERIDOTMILL_CORE_FRAMING_FRAME_DECODER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "peridotmill_core/errors/error.h"

namespace peridotmill {

inline constexpr size_t kFrameHeaderBytes = 4;
// Maximum payload of a frame between peers.
inline constexpr size_t kMaxPeerPayloadBytes = size_t{2} << 20;

// Returns a frame: 4-byte little-endian payload length and payload.
// @pre the payload is neither empty nor longer than kMaxPeerPayloadBytes.
std::string EncodeFrame(std::string_view payload);

// Splits a byte stream into frames. Holds at most one incomplete frame beyond
// what the last Append() added.
class FrameDecoder {
 public:
  explicit FrameDecoder(size_t max_payload_bytes)
      : max_payload_bytes_(max_payload_bytes) {}

  void set_max_payload_bytes(size_t max_payload_bytes) {
    max_payload_bytes_ = max_payload_bytes;
  }

  // Adds bytes that were read from the stream.
  void Append(std::string_view bytes);

  // Returns the payload of the next complete frame, or nullopt when more bytes
  // are needed. After an error the stream cannot be read further.
  // Errors: kTooLarge as soon as the length is known; kMalformed for an empty
  // frame.
  Result<std::optional<std::string>> Next();

  // Returns the number of buffered bytes that Next() has not consumed.
  size_t size() const { return bytes_.size() - consumed_bytes_; }

 private:
  size_t max_payload_bytes_;
  std::string bytes_;
  // Bytes at the front of `bytes_` that Next() has consumed. The next Append()
  // erases them.
  size_t consumed_bytes_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_FRAMING_FRAME_DECODER_H_
