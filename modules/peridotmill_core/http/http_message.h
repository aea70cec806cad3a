#ifndef PERIDOTMILL_CORE_HTTP_HTTP_MESSAGE_H_
#define PERIDOTMILL_CORE_HTTP_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "peridotmill_core/http/header_list.h"
#include "peridotmill_core/http/message_body.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// A complete request as the caller sent it. The target is still
// percent-encoded.
struct HttpRequest {
  std::string method;
  std::string target;
  HeaderList headers;
  MessageBody body;
};

// Status line and header fields of a response.
struct HttpResponseHead {
  int status = 0;
  std::string reason;
  HeaderList headers;
  // Length of the body; nullopt if it is not known in advance.
  std::optional<uint64_t> content_length;
};

// Limits on the size and duration of a caller's request.
struct HttpLimits {
  size_t max_head_bytes = 16384;
  size_t max_body_bytes = size_t{4} << 20;
  // Maximum time from the first byte of a request to the end of its head.
  Duration head_timeout = std::chrono::seconds(3);
  // Maximum time without a received byte, between requests or within a body.
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const HttpLimits&, const HttpLimits&) = default;
};

// Returns the reason phrase of an HTTP status code that this system sends, or
// "Unknown".
const char* ReasonPhrase(int status);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_HTTP_HTTP_MESSAGE_H_
