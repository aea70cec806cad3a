#ifndef PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_REGISTRATION_H_
#define PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_REGISTRATION_H_

#include <compare>
#include <cstdint>
#include <string>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// The entry with which an endpoint registers itself in the platform's store.
struct EndpointRegistration {
  EndpointId id;
  PoolId pool;
  // "ip:port"; may be reused by another endpoint after this one has ended.
  std::string address;
  FailureDomainId failure_domain;
  // Version of the endpoint's software; empty if it names none.
  std::string software_version;
  // Requests that the endpoint processes concurrently.
  int slots = 1;
  // Whether the endpoint finishes its current work and accepts no new work.
  bool is_draining = false;
  // Remaining time for which the endpoint is slow after its start.
  Duration warm_up_left = Duration::zero();
  // Distinguishes successive processes with the same id; Unix time in
  // milliseconds.
  int64_t started_at_ms = 0;
  // Rises with each report of the process about itself; 0 if unknown.
  int64_t sequence = 0;

  friend bool operator==(const EndpointRegistration&,
                         const EndpointRegistration&) = default;
};

// Identifies one process of an endpoint: a later one with the same id differs
// in its start time or its address.
struct EndpointIncarnation {
  EndpointId id;
  std::string address;
  int64_t started_at_ms = 0;

  friend auto operator<=>(const EndpointIncarnation&,
                          const EndpointIncarnation&) = default;
};

inline EndpointIncarnation IncarnationOf(
    const EndpointRegistration& registration) {
  return {.id = registration.id,
          .address = registration.address,
          .started_at_ms = registration.started_at_ms};
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_REGISTRATION_H_
