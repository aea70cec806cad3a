#ifndef PERIDOTMILL_CORE_ERRORS_ERROR_H_
#define PERIDOTMILL_CORE_ERRORS_ERROR_H_

#include <system_error>
#include <tl/expected.hpp>

namespace peridotmill {

// Error codes that the library's own functions return.
enum class Error {
  kMalformed = 1,
  kTooLarge,
  kDigestMismatch,
  kNotFound,
  kConflict,
  kUnavailable,
};

// Returns the category of all Error codes.
const std::error_category& ErrorCategory();
// Converts an Error to a std::error_code. <system_error> requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
std::error_code make_error_code(Error error);

// A value, or the error code of the operation that failed to produce it.
template <typename T>
using Result = tl::expected<T, std::error_code>;

}  // namespace peridotmill

template <>
struct std::is_error_code_enum<peridotmill::Error> : std::true_type {};

#endif  // PERIDOTMILL_CORE_ERRORS_ERROR_H_
