#ifndef PERIDOTMILL_ROUTING_ENDPOINTS_ENDPOINT_VIEW_H_
#define PERIDOTMILL_ROUTING_ENDPOINTS_ENDPOINT_VIEW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/units/units.h"

namespace peridotmill {

// What one node knows of one endpoint.
struct EndpointView {
  // Read on each selection; kept together at the front.
  bool is_listed = true;
  bool is_leaving = false;
  bool is_own_domain = false;
  // Whether the endpoint was ejected and has not succeeded since.
  bool is_on_probation = false;
  bool has_report = false;
  int32_t in_flight = 0;
  // Attempts that this node may have open here; set with SetConcurrencyLimit().
  int32_t limit = 8;
  int32_t consecutive_failures = 0;
  TimePoint ejected_until{};
  // Reported load without this node's own part at that time.
  double other_nodes_load = 0;
  int32_t reported_load = 0;
  TimePoint reported_at{};
  // Measured over expected service time, smoothed.
  double latency_ratio = 1.0;
  int32_t latency_samples = 0;
  TimePoint latency_at{};
  int32_t ejections = 0;
  TimePoint failed_at{};

  EndpointId id;
  std::string address;
  PoolId pool;
  FailureDomainId failure_domain;
  Incarnation incarnation;
  // "model@version" of each loaded model.
  std::vector<std::string> loaded_models;
};

// Names an open attempt to the table. An attempt to an earlier incarnation
// changes nothing of the present one when it ends.
struct AttemptTicket {
  EndpointId endpoint;
  Incarnation incarnation;
  TimePoint started{};
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_ENDPOINTS_ENDPOINT_VIEW_H_
