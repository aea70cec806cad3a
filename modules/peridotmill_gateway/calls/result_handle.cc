#include "peridotmill_gateway/calls/result_handle.h"

#include <algorithm>

namespace peridotmill {

Result<ResultHandle> ParseResultHandle(std::string_view text) {
  if (text.size() > kMaxResultHandleBytes) {
    return tl::unexpected(make_error_code(Error::kTooLarge));
  }
  if (text.empty() || !std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c <= '~' && c != ',';
      })) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  return ResultHandle(text);
}

}  // namespace peridotmill
