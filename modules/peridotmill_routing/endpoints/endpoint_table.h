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

// The table ignores further endpoints and counts them in ignored_endpoints.
inline constexpr size_t kMaxEndpoints = 4096;
// Number of endpoints in other failure domains that a node considers per pool.
inline constexpr size_t kOtherDomainEndpointsPerPool = 8;

// The endpoints of one pool, as positions in EndpointTable::endpoints.
struct PoolIndex {
  std::vector<uint32_t> members;
  std::vector<uint32_t> own_domain;
  // The endpoints of other failure domains that this node considers: those
  // with the highest rendezvous scores of (node, endpoint).
  std::vector<uint32_t> other_domains;
  uint32_t round_robin_next = 0;
};

// An endpoint incarnation that has announced that it is leaving. The table
// remembers it so that a stale host list cannot make it usable again.
struct DepartedEndpoint {
  Incarnation incarnation;
  TimePoint seen_at{};
};

// One node's view of all endpoints, indexed by id and by pool.
struct EndpointTable {
  NodeId node;
  FailureDomainId own_domain;
  std::vector<EndpointView> endpoints;
  std::unordered_map<EndpointId, uint32_t> positions;
  std::map<PoolId, PoolIndex> pools;
  // Holds at most kMaxEndpoints entries.
  std::unordered_map<EndpointId, DepartedEndpoint> departed;
  // Network round-trip time from this node to each other failure domain;
  // kDefaultRoundTrip applies to domains that are not listed.
  std::map<FailureDomainId, Duration> round_trips;
  uint64_t ignored_endpoints = 0;
};

// The load of one endpoint, read from it directly or forwarded by a peer.
struct LoadReport {
  EndpointId endpoint;
  // 0 when unknown; the report then applies to the current incarnation.
  Incarnation incarnation;
  EndpointLoad load;
  TimePoint measured_at{};
};

EndpointTable MakeEndpointTable(NodeId node, FailureDomainId own_domain);

// Updates the table from the platform's host list. Records with an older
// incarnation than the table's are ignored. The list's version is not compared:
// if the platform restarted its version count, the table would stop updating.
// Endpoints that are no longer listed get no new work and are removed once they
// are idle. New endpoints start with the concurrency configured for their pool.
void ApplyHostList(EndpointTable& table,
                   const HostList& list,
                   const std::map<PoolId, Pool>& pools,
                   TimePoint now);

// Updates an endpoint from a load report. A report that is older than the last
// one, or from another incarnation, can only mark the endpoint as leaving.
void ApplyLoadReport(EndpointTable& table,
                     const LoadReport& report,
                     TimePoint now);

// Marks an endpoint as leaving. Called when a peer reports it.
void ApplyLeaving(EndpointTable& table,
                  const EndpointId& endpoint,
                  Incarnation incarnation,
                  TimePoint now);

void SetConcurrencyLimit(EndpointTable& table,
                         const EndpointId& endpoint,
                         int32_t limit);

// Counts a new attempt in flight. The endpoint must be in the table.
AttemptTicket BeginAttempt(EndpointTable& table,
                           const EndpointId& endpoint,
                           TimePoint now);

// Ends an attempt and updates the endpoint's health from its outcome.
// `expected` is the estimated median service time of the stage and size class.
void EndAttempt(EndpointTable& table,
                const AttemptTicket& ticket,
                AttemptOutcome outcome,
                Duration expected,
                TimePoint now);

// Ends an attempt that this node cancelled. Leaves the endpoint's health
// unchanged.
void EndCancelledAttempt(EndpointTable& table, const AttemptTicket& ticket);

// Returns the endpoint, or null when it is not in the table. The pointer is
// valid until the table changes.
const EndpointView* FindEndpoint(const EndpointTable& table,
                                 const EndpointId& endpoint);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_ENDPOINTS_ENDPOINT_TABLE_H_
