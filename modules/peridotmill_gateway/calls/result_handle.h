#ifndef PERIDOTMILL_GATEWAY_CALLS_RESULT_HANDLE_H_
#define PERIDOTMILL_GATEWAY_CALLS_RESULT_HANDLE_H_

#include <cstddef>
#include <string_view>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_core/ids/strong_id.h"

namespace peridotmill {

// Identifies a stage result and the endpoint that stores it.
using ResultHandle = StrongId<struct ResultHandleTag>;

// Longest handle, in bytes. An engine receives all handles of a request in one
// header field.
inline constexpr size_t kMaxResultHandleBytes = 256;

// Returns the handle that an endpoint has written as `text`. A handle consists
// of visible ASCII characters without commas, since engines receive a
// comma-separated list of them in a header field.
// Errors: kMalformed, kTooLarge.
Result<ResultHandle> ParseResultHandle(std::string_view text);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_CALLS_RESULT_HANDLE_H_
