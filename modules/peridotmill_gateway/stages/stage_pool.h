#ifndef PERIDOTMILL_GATEWAY_STAGES_STAGE_POOL_H_
#define PERIDOTMILL_GATEWAY_STAGES_STAGE_POOL_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "peridotmill_gateway/admission/admission_queue.h"
#include "peridotmill_gateway/configuration/gateway_config.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"

namespace peridotmill {

// Returns how long a call to an endpoint of the pool may take before it times
// out, and the endpoint is avoided.
Duration StageCallTimeout(const StagePoolDefinition& pool, int item_count);

// Returns whether an endpoint may get calls.
bool IsStageEndpointUsable(const Endpoint& endpoint,
                           const StagePoolDefinition& pool,
                           TimePoint now);

// Returns the usable endpoints that can take a call, fewest stored result bytes
// first: the endpoint with the fewest takes the fullest call.
std::vector<EndpointPtr> FindIdleEndpoints(
    const std::vector<EndpointPtr>& serving,
    const StagePoolDefinition& pool,
    TimePoint now);

// Returns whether hardly any endpoint is idle while much work waits.
bool IsPoolSaturated(const std::vector<EndpointPtr>& serving,
                     const StagePoolDefinition& pool,
                     int waiting_items,
                     TimePoint now);

// Returns the failure domains in which the pool has a usable endpoint, and the
// predicted time until one of them can take a call. `call_ends` has the
// predicted end of the last call in flight to each endpoint that has one.
std::map<FailureDomainId, Duration> PredictDomainWaits(
    const std::vector<EndpointPtr>& serving,
    const StagePoolDefinition& pool,
    const std::unordered_map<EndpointId, TimePoint>& call_ends,
    TimePoint now);

// Returns the estimated free result memory of an endpoint in bytes.
int64_t EstimateFreeResultBytes(const Endpoint& endpoint,
                                const StagePoolDefinition& pool,
                                TimePoint now);

// Assumes that another coordinator has left results at these endpoints.
void AssumeForeignResultsAt(const std::vector<EndpointPtr>& endpoints,
                            const StagePoolDefinition& pool,
                            TimePoint now);

// Updates an endpoint's ratio of observed to configured call times after a call
// with `item_count` items.
void RecordCallTime(Endpoint& endpoint,
                    const StagePoolDefinition& pool,
                    int item_count,
                    Duration elapsed);

// Returns the throughput of the usable endpoints. `result_storage_time` is how
// long a result takes memory at its producer.
PoolThroughput EstimateThroughput(const std::vector<EndpointPtr>& serving,
                                  const StagePoolDefinition& pool,
                                  Duration result_storage_time,
                                  TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STAGES_STAGE_POOL_H_
