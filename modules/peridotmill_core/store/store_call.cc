#include "peridotmill_core/store/store_call.h"

namespace peridotmill {

std::string PrefixRangeEnd(std::string prefix) {
  while (!prefix.empty()) {
    const auto last = static_cast<unsigned char>(prefix.back());
    if (last < 0xff) {
      prefix.back() = static_cast<char>(last + 1);
      return prefix;
    }
    prefix.pop_back();
  }
  return prefix;
}

}  // namespace peridotmill
