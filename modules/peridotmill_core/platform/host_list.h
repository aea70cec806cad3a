#ifndef PERIDOTMILL_CORE_PLATFORM_HOST_LIST_H_
#define PERIDOTMILL_CORE_PLATFORM_HOST_LIST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/units/units.h"

namespace peridotmill {

// One endpoint as the platform's host list shows it. The list lags.
struct EndpointRecord {
  EndpointId id;
  // "address:port".
  std::string address;
  PoolId pool;
  FailureDomainId failure_domain;
  bool is_leaving = false;
  Incarnation incarnation;
};

// One entry node as the host list shows it.
struct NodeRecord {
  NodeId id;
  std::string peer_address;
  FailureDomainId failure_domain;
  bool is_leaving = false;
};

struct HostList {
  int64_t version = 0;
  std::vector<EndpointRecord> endpoints;
  std::vector<NodeRecord> nodes;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_PLATFORM_HOST_LIST_H_
