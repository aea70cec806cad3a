#include "peridotmill_http/server/request_head_check.h"

#include <algorithm>

#include "peridotmill_core/http/header_list.h"

namespace peridotmill {
namespace {

bool IsTokenCharacter(unsigned char c) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') ||
         kSymbols.find(static_cast<char>(c)) != std::string_view::npos;
}

bool IsControl(unsigned char c) {
  return (c < ' ' && c != '\t') || c == 0x7f;
}

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Numbers of headers with these names in one head.
struct HeaderCounts {
  int content_lengths = 0;
  int transfer_encodings = 0;
  int hosts = 0;
};

std::optional<std::string_view> FindRequestLineViolation(
    std::string_view line) {
  if (std::count(line.begin(), line.end(), ' ') != 2) {
    return "request line without exactly two spaces";
  }
  if (std::any_of(line.begin(), line.end(),
                  [](unsigned char c) { return c < ' ' || c >= 0x7f; })) {
    return "control character or non-ASCII byte in the request line";
  }
  return std::nullopt;
}

std::optional<std::string_view> FindHeaderViolation(std::string_view line,
                                                    HeaderCounts& counts) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) {
    return "header line without a name";
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = Trim(line.substr(colon + 1));
  if (!std::all_of(name.begin(), name.end(), IsTokenCharacter)) {
    return "invalid character in a header name";
  }
  if (std::any_of(value.begin(), value.end(), IsControl)) {
    return "control character in a header value";
  }
  if (EqualsIgnoringCase(name, "Content-Length")) {
    ++counts.content_lengths;
    if (value.empty() || !std::all_of(value.begin(), value.end(), [](char c) {
          return c >= '0' && c <= '9';
        })) {
      return "Content-Length is not a number";
    }
  } else if (EqualsIgnoringCase(name, "Transfer-Encoding")) {
    ++counts.transfer_encodings;
    if (!EqualsIgnoringCase(value, "chunked")) {
      return "transfer coding other than chunked";
    }
  } else if (EqualsIgnoringCase(name, "Host")) {
    ++counts.hosts;
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string_view> FindRequestHeadViolation(
    std::string_view head) {
  HeaderCounts counts;
  bool is_request_line = true;
  while (!head.empty()) {
    const size_t end = head.find('\n');
    if (end == std::string_view::npos || end == 0 || head[end - 1] != '\r') {
      return "line that does not end with CR LF";
    }
    const std::string_view line = head.substr(0, end - 1);
    head.remove_prefix(end + 1);
    if (line.empty()) {
      break;
    }
    if (line.find('\r') != std::string_view::npos) {
      return "CR within a line";
    }
    if (!is_request_line && (line.front() == ' ' || line.front() == '\t')) {
      return "folded header line";
    }
    const auto violation = is_request_line ? FindRequestLineViolation(line)
                                           : FindHeaderViolation(line, counts);
    if (violation) {
      return violation;
    }
    is_request_line = false;
  }
  if (counts.content_lengths > 1) {
    return "more than one Content-Length";
  }
  if (counts.transfer_encodings > 1) {
    return "more than one Transfer-Encoding";
  }
  if (counts.content_lengths > 0 && counts.transfer_encodings > 0) {
    return "both Content-Length and Transfer-Encoding";
  }
  if (counts.hosts != 1) {
    return "not exactly one Host";
  }
  return std::nullopt;
}

}  // namespace peridotmill
