#ifndef PERIDOTMILL_CORE_HTTP_HTTP_MESSAGE_H_
#define PERIDOTMILL_CORE_HTTP_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "peridotmill_core/http/header_list.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// A complete request as its caller sent it; the target is not decoded.
struct HttpRequest {
  std::string method;
  std::string target;
  HeaderList headers;
  std::string body;
};

struct HttpResponseHead {
  int status = 0;
  std::string reason;
  HeaderList headers;
  // Absent: the length is not known in advance.
  std::optional<uint64_t> content_length;
};

// What a caller may send, and how long it may take.
struct HttpLimits {
  size_t max_head_bytes = 16384;
  size_t max_body_bytes = size_t{4} << 20;
  // From the first byte of a request to the end of its head.
  Duration head_timeout = std::chrono::seconds(3);
  // Without a byte, between requests or within a body.
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const HttpLimits&, const HttpLimits&) = default;
};

// Standard reason phrase of a status; "Unknown" where there is none.
const char* ReasonPhrase(int status);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_HTTP_HTTP_MESSAGE_H_
