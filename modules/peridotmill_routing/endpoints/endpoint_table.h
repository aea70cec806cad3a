#ifndef PERIDOTMILL_ROUTING_ENDPOINTS_ENDPOINT_TABLE_H_
#define PERIDOTMILL_ROUTING_ENDPOINTS_ENDPOINT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "peridotmill_config/objects/object_set.h"
#include "peridotmill_core/attempts/attempt_outcome.h"
#include "peridotmill_core/platform/endpoint_load.h"
#include "peridotmill_core/platform/host_list.h"
#include "peridotmill_routing/endpoints/endpoint_view.h"

namespace peridotmill {

// Endpoints beyond this number are ignored and counted.
inline constexpr size_t kMaxEndpoints = 4096;
// Endpoints of other failure domains that a node considers per pool.
inline constexpr size_t kForeignSubset = 8;

// Endpoints of one pool, as positions in EndpointTable::endpoints.
struct PoolIndex {
  std::vector<uint32_t> members;
  std::vector<uint32_t> own_domain;
  // Highest rendezvous scores of (node, endpoint) among the other domains.
  std::vector<uint32_t> foreign;
  uint32_t round_robin_next = 0;
};

// An incarnation that was seen leaving; a stale list must not bring it back.
struct DepartedEndpoint {
  Incarnation incarnation;
  TimePoint at{};
};

// Endpoints by id and by pool, as one node sees them.
struct EndpointTable {
  NodeId node;
  FailureDomainId own_domain;
  std::vector<EndpointView> endpoints;
  std::unordered_map<EndpointId, uint32_t> positions;
  std::map<PoolId, PoolIndex> pools;
  // Bounded by kMaxEndpoints.
  std::unordered_map<EndpointId, DepartedEndpoint> departed;
  // Time between this node and another failure domain and back; domains that
  // are not listed count as kDefaultDistance.
  std::map<FailureDomainId, Duration> distances;
  uint64_t ignored_endpoints = 0;
};

// One load report, read directly or forwarded by a peer.
struct LoadReport {
  EndpointId endpoint;
  // 0 when the reader did not know it; then the present one is meant.
  Incarnation incarnation;
  EndpointLoad load;
  TimePoint measured_at{};
};

EndpointTable MakeEndpointTable(NodeId node, FailureDomainId own_domain);

// Takes over the platform's list. Records of an older incarnation than the
// known one are ignored; the list's version is not compared, since a host list
// that restarts its count must not freeze the table. Endpoints that are no
// longer listed get no new work and are forgotten once idle. New endpoints
// start with their pool's concurrency.
void ApplyHostList(EndpointTable& table,
                   const HostList& list,
                   const std::map<PoolId, Pool>& pools,
                   TimePoint now);

// Takes over a load report; one older than the last counts only for leaving.
void ApplyLoadReport(EndpointTable& table,
                     const LoadReport& report,
                     TimePoint now);

// An endpoint is leaving, as told by a peer.
void ApplyLeaving(EndpointTable& table,
                  const EndpointId& endpoint,
                  Incarnation incarnation,
                  TimePoint now);

void SetConcurrencyLimit(EndpointTable& table,
                         const EndpointId& endpoint,
                         int32_t limit);

// Counts a new attempt. The endpoint must be known.
AttemptTicket BeginAttempt(EndpointTable& table,
                           const EndpointId& endpoint,
                           TimePoint now);

// Counts the end of an attempt and its evidence on the endpoint's health.
// `expected` is the learned median of the stage and size class.
void EndAttempt(EndpointTable& table,
                const AttemptTicket& ticket,
                AttemptOutcome outcome,
                Duration expected,
                TimePoint now);

// Ends an attempt that was cancelled by this node; no evidence on health.
void EndCancelledAttempt(EndpointTable& table, const AttemptTicket& ticket);

const EndpointView* FindEndpoint(const EndpointTable& table,
                                 const EndpointId& endpoint);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_ENDPOINTS_ENDPOINT_TABLE_H_
