#ifndef PERIDOTMILL_GATEWAY_SETTINGS_GATEWAY_SETTINGS_H_
#define PERIDOTMILL_GATEWAY_SETTINGS_GATEWAY_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/retries/pool_retry_budget.h"

namespace peridotmill {

// What a gateway process learns from its host.
struct GatewaySettings {
  NodeId node;
  FailureDomainId failure_domain;
  // "ip:port" for callers, for the balancer's readiness checks, and for the
  // metrics page; the last one may be empty.
  std::string caller_address;
  std::string readiness_address;
  std::string metrics_address;
  // "ip:port" on which other nodes reach this one.
  std::string peer_address;
  // "ip:port" on which this node passes on what it knows of the store.
  std::string replica_address;
  std::string store_address;
  // Descriptors that the process may have open.
  size_t max_descriptors = 1024;
  // Share of a processor core that the process has.
  double processor_share = 1;
  // From the signal to stop until the process is killed.
  Duration stop_grace = std::chrono::seconds(8);
  PoolRetryBudgetSettings repeats;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_SETTINGS_GATEWAY_SETTINGS_H_
