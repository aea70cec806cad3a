#ifndef PERIDOTMILL_CORE_COMPRESSION_DELTA_H_
#define PERIDOTMILL_CORE_COMPRESSION_DELTA_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "peridotmill_core/errors/error.h"

namespace peridotmill {

// Returns instructions that rebuild `target` from `base`: copies of ranges of
// `base`, and literal bytes. The size depends on what differs, also if ranges
// have moved. An empty base gives a plain copy of the target.
// @see Tridgell and Mackerras, "The rsync algorithm", 1996.
std::string EncodeDelta(std::string_view base, std::string_view target);

// Rebuilds a target from the base that it was encoded with.
// Errors: kMalformed; kTooLarge if the target is longer than `max_bytes`;
// kDigestMismatch if the result is not the encoded target, which shows that the
// base is another one.
Result<std::string> ApplyDelta(std::string_view base,
                               std::string_view delta,
                               size_t max_bytes);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_COMPRESSION_DELTA_H_
