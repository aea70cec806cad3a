#ifndef PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_NOTICE_H_
#define PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_NOTICE_H_

#include <optional>

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// What an endpoint asks of its clients in a response.
struct EndpointNotice {
  // The endpoint is about to exit and wants no more requests.
  bool is_leaving = false;
  // The endpoint is overloaded and wants no requests from this node for so
  // long.
  std::optional<Duration> hold_off;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_NOTICE_H_
