#ifndef PERIDOTMILL_CORE_COMPRESSION_DEFLATE_H_
#define PERIDOTMILL_CORE_COMPRESSION_DEFLATE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "peridotmill_core/errors/error.h"

namespace peridotmill {

// Returns `bytes` in the zlib format (RFC 1950), compressed for speed.
std::string Deflate(std::string_view bytes);

// Reverses Deflate().
// Errors: kMalformed; kTooLarge if the result is longer than `max_bytes`.
Result<std::string> Inflate(std::string_view compressed, size_t max_bytes);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_COMPRESSION_DEFLATE_H_
