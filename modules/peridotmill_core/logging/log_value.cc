#include "peridotmill_core/logging/log_value.h"

#include <cstdio>

namespace peridotmill {
namespace {

bool NeedsQuotes(std::string_view value) {
  if (value.empty()) {
    return true;
  }
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte <= ' ' || byte == '"' || byte == '=' || byte == '\\' ||
        byte >= 0x7f) {
      return true;
    }
  }
  return false;
}

}  // namespace

void AppendLogValue(std::string_view value, std::string& line) {
  if (!NeedsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      line += '\\';
      line += c;
    } else if (byte < ' ' || byte >= 0x7f) {
      char escaped[8];
      std::snprintf(escaped, sizeof(escaped), "\\x%02x", byte);
      line += escaped;
    } else {
      line += c;
    }
  }
  line += '"';
}

}  // namespace peridotmill
