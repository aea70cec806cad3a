#ifndef PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_REGISTRATION_H_
#define PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_REGISTRATION_H_

#include <cstdint>
#include <string>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// What an endpoint says of itself in the platform's store.
struct EndpointRegistration {
  EndpointId id;
  PoolId pool;
  // "ip:port"; may go to another endpoint after this one has ended.
  std::string address;
  FailureDomainId failure_domain;
  int slots = 1;
  // Finishes what it has and takes no new work.
  bool is_draining = false;
  // How long it stays slow after its start.
  Duration warm_up_left = Duration::zero();
  // Tells apart successive processes under the same id; Unix milliseconds.
  int64_t started_at_ms = 0;

  friend bool operator==(const EndpointRegistration&,
                         const EndpointRegistration&) = default;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_REGISTRATION_H_
