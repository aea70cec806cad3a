#ifndef PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_NOTICE_H_
#define PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_NOTICE_H_

#include <optional>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/registry/request_rate.h"

namespace peridotmill {

// What an endpoint asks of its clients in a response.
struct EndpointNotice {
  // The endpoint is about to exit and wants no more requests.
  bool is_leaving = false;
  // The endpoint is overloaded and wants no requests from this node for so
  // long.
  std::optional<Duration> hold_off;
  // Whether the response came from the endpoint itself, so that a missing
  // limit means that there is none.
  bool is_from_endpoint = false;
  // What the endpoint accepts from all nodes together.
  std::optional<RequestRate> limit;
  // How much longer the endpoint stays cold, if it says so.
  std::optional<Duration> warm_up_left;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_NOTICE_H_
