#ifndef PERIDOTMILL_ROUTING_ENDPOINTS_ENDPOINT_VIEW_H_
#define PERIDOTMILL_ROUTING_ENDPOINTS_ENDPOINT_VIEW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/units/units.h"

namespace peridotmill {

// One node's view of one endpoint.
struct EndpointView {
  // The members down to `failed_at` are read on each selection and are kept
  // together for that reason.
  bool is_listed = true;
  bool is_leaving = false;
  bool is_own_domain = false;
  // Whether the endpoint was ejected and no attempt has succeeded since.
  bool is_on_probation = false;
  bool has_report = false;
  int32_t in_flight = 0;
  // Maximum number of this node's attempts in flight at the endpoint; set with
  // SetConcurrencyLimit().
  int32_t limit = 8;
  int32_t consecutive_failures = 0;
  TimePoint ejected_until{};
  // Reported load minus this node's own attempts at that time.
  double other_nodes_load = 0;
  int32_t reported_load = 0;
  TimePoint reported_at{};
  // Measured divided by expected service time, exponentially smoothed.
  double latency_ratio = 1.0;
  int32_t latency_samples = 0;
  TimePoint latency_updated_at{};
  int32_t consecutive_ejections = 0;
  TimePoint failed_at{};

  EndpointId id;
  std::string address;
  PoolId pool;
  FailureDomainId failure_domain;
  Incarnation incarnation;
  // "model@version" of each loaded model.
  std::vector<std::string> loaded_models;
};

// Identifies an attempt in flight. When an attempt to an earlier incarnation
// ends, the current incarnation's counts and health stay unchanged.
struct AttemptTicket {
  EndpointId endpoint;
  Incarnation incarnation;
  TimePoint started{};
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_ENDPOINTS_ENDPOINT_VIEW_H_
