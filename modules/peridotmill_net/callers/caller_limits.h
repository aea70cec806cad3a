#ifndef PERIDOTMILL_NET_CALLERS_CALLER_LIMITS_H_
#define PERIDOTMILL_NET_CALLERS_CALLER_LIMITS_H_

#include <glib.h>

#include <cstddef>

namespace peridotmill {

// Bounds on what one caller, and all callers together, can make a node hold.
struct CallerLimits {
  size_t max_body_bytes = 4 << 20;
  // Names and values of one request's headers.
  size_t max_header_bytes = 32 << 10;
  // Response bytes that a caller may leave unread; beyond this the connection
  // is closed and the request ends.
  size_t max_unsent_bytes = 4 << 20;
  size_t max_connections = 10'000;
  // Time in which a caller must have sent the whole request.
  guint body_timeout_ms = 10'000;
  // Time that a connection may stay open between requests.
  guint idle_timeout_ms = 60'000;
  // Time in which a caller must read some of a waiting response.
  guint stall_timeout_ms = 30'000;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_CALLERS_CALLER_LIMITS_H_
