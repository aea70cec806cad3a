#ifndef PERIDOTMILL_GATEWAY_SETTINGS_GATEWAY_SETTINGS_H_
#define PERIDOTMILL_GATEWAY_SETTINGS_GATEWAY_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/retries/pool_retry_budget.h"

namespace peridotmill {

// Settings that a gateway process reads from its host.
struct GatewaySettings {
  NodeId node;
  FailureDomainId failure_domain;
  // "ip:port" on which the process listens for callers, for the load balancer's
  // readiness checks, and for requests for the metrics page. The last one may
  // be empty.
  std::string caller_address;
  std::string readiness_address;
  std::string metrics_address;
  // "ip:port" at which other nodes connect to this one to submit stage tasks.
  std::string peer_address;
  // "ip:port" at which other nodes subscribe to this node's copy of the store.
  std::string replica_address;
  std::string store_address;
  // Bytes of memory that the process may use; 0 if the host sets no limit.
  size_t memory_bytes = 0;
  // Number of file descriptors that the process may have open.
  size_t max_descriptors = 1024;
  // Fraction of a processor core that the process may use.
  double processor_share = 1;
  // Time between the signal to stop and the moment when the host kills the
  // process.
  Duration stop_grace = std::chrono::seconds(8);
  // Whether operators may ask to evacuate failure domains.
  bool honors_evacuations = false;
  // Limits of the node's retry budgets.
  PoolRetryBudgetSettings repeats;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_SETTINGS_GATEWAY_SETTINGS_H_
