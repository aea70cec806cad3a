#ifndef PERIDOTMILL_GATEWAY_REGISTRY_REQUEST_RATE_H_
#define PERIDOTMILL_GATEWAY_REGISTRY_REQUEST_RATE_H_

#include <compare>

namespace peridotmill {

// A number of requests per second, at least 0.
struct RequestRate {
  double per_second = 0;

  friend auto operator<=>(const RequestRate&, const RequestRate&) = default;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REGISTRY_REQUEST_RATE_H_
