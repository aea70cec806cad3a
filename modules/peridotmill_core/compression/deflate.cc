#include "peridotmill_core/compression/deflate.h"

#include <zlib.h>

#include <algorithm>

namespace peridotmill {
namespace {

// zlib declares its input as non-const and does not write to it.
Bytef* ToZlib(std::string_view bytes) {
  return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

}  // namespace

std::string Deflate(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string compressed(size, '\0');
  compress2(reinterpret_cast<Bytef*>(compressed.data()), &size, ToZlib(bytes),
            bytes.size(), Z_BEST_SPEED);
  compressed.resize(size);
  return compressed;
}

Result<std::string> Inflate(std::string_view compressed, size_t max_bytes) {
  constexpr size_t kBlockBytes = size_t{64} << 10;
  z_stream stream = {};
  stream.next_in = ToZlib(compressed);
  stream.avail_in = static_cast<uInt>(compressed.size());
  if (inflateInit(&stream) != Z_OK) {
    return tl::unexpected(make_error_code(Error::kUnavailable));
  }
  std::string bytes;
  int status = Z_OK;
  while (status == Z_OK && bytes.size() <= max_bytes) {
    const size_t start = bytes.size();
    // One byte over the limit tells a result of that length from a longer one.
    bytes.resize(start + std::min(kBlockBytes, max_bytes + 1 - start));
    stream.next_out = reinterpret_cast<Bytef*>(bytes.data() + start);
    stream.avail_out = static_cast<uInt>(bytes.size() - start);
    status = inflate(&stream, Z_NO_FLUSH);
    bytes.resize(bytes.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (bytes.size() > max_bytes) {
    return tl::unexpected(make_error_code(Error::kTooLarge));
  }
  if (status != Z_STREAM_END) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  return bytes;
}

}  // namespace peridotmill
