#ifndef PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_NOTICE_H_
#define PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_NOTICE_H_

namespace peridotmill {

// What an endpoint asks of its clients in a response.
struct EndpointNotice {
  // The endpoint is about to exit and wants no more requests.
  bool is_leaving = false;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_NOTICE_H_
