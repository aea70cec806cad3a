#ifndef PERIDOTMILL_CORE_PLATFORM_HOST_LIST_H_
#define PERIDOTMILL_CORE_PLATFORM_HOST_LIST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/units/units.h"

namespace peridotmill {

// An endpoint as listed by the platform. The host list may be out of date.
struct EndpointRecord {
  EndpointId id;
  // "address:port".
  std::string address;
  PoolId pool;
  FailureDomainId failure_domain;
  bool is_leaving = false;
  Incarnation incarnation;
};

// An entry node as listed by the platform.
struct NodeRecord {
  NodeId id;
  std::string peer_address;
  FailureDomainId failure_domain;
  bool is_leaving = false;
};

// The platform's list of endpoints and entry nodes.
struct HostList {
  int64_t version = 0;
  std::vector<EndpointRecord> endpoints;
  std::vector<NodeRecord> nodes;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_PLATFORM_HOST_LIST_H_
