#ifndef PERIDOTMILL_CORE_ERRORS_ERROR_H_
#define PERIDOTMILL_CORE_ERRORS_ERROR_H_

#include <system_error>
#include <tl/expected.hpp>

namespace peridotmill {

// Errors of the library's own functions.
enum class Error {
  kMalformed = 1,
  kTooLarge,
  kDigestMismatch,
  kNotFound,
  kConflict,
  kUnavailable,
};

const std::error_category& ErrorCategory();
// The name is fixed by <system_error>.
// NOLINTNEXTLINE(readability-identifier-naming)
std::error_code make_error_code(Error error);

template <typename T>
using Result = tl::expected<T, std::error_code>;

}  // namespace peridotmill

template <>
struct std::is_error_code_enum<peridotmill::Error> : std::true_type {};

#endif  // PERIDOTMILL_CORE_ERRORS_ERROR_H_
