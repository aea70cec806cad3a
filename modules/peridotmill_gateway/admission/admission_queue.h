#ifndef PERIDOTMILL_GATEWAY_ADMISSION_ADMISSION_QUEUE_H_
#define PERIDOTMILL_GATEWAY_ADMISSION_ADMISSION_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "peridotmill_gateway/admission/planned_work.h"
#include "peridotmill_gateway/overload/pool_demands.h"
#include "peridotmill_gateway/overload/yield_order.h"

namespace peridotmill {

// Identifies a request in an AdmissionQueue.
using AdmissionId = uint64_t;

// A request that waits for its first stage to start.
struct WaitingRequest {
  TimePoint submitted;
  // Latest start at which the request still meets its latency target, and at
  // which its response still arrives before the caller gives up.
  TimePoint latest_on_time_start;
  TimePoint latest_useful_start;
  // 0 is the most urgent.
  int priority = 0;
  std::vector<PlannedWork> work;
  // How long the work takes the pools; see PoolSeconds.
  double pool_seconds = 0;
};

// Work of a request that has started.
struct StartedWork {
  PlannedWork work;
  // When the work ends if it does not have to queue.
  TimePoint expected_end;
};

// Requests that wait for, or are in, the stages of a group of pools.
struct AdmissionQueue {
  std::map<AdmissionId, WaitingRequest> waiting;
  std::map<AdmissionId, std::vector<StartedWork>> started;
  // Recent demand by priority. Without it, requests of all priorities leave
  // each other equal room.
  PriorityDemands demands;
  PoolDemands pool_demands;
};

// Throughput of a pool.
struct PoolThroughput {
  double items_per_second = 0;
  // Result memory that is freed; 0 if the memory is not limited.
  double result_bytes_per_second = 0;
};
using PoolThroughputs = std::map<PoolId, PoolThroughput>;

// Returns how long the work of a request takes the pools that it uses, in
// seconds of the time of a whole pool.
double PoolSeconds(const std::vector<PlannedWork>& work,
                   const PoolThroughputs& throughputs);

// Returns the time by which waiting requests with the same outlook are ordered.
TimePoint OrderingTime(const AdmissionQueue& queue,
                       const WaitingRequest& request,
                       StartOutlook outlook);

// Moves the requests that can start now from waiting to started and returns
// them in the order in which they start. Handles bursts above the capacity of
// the stage pools: a request starts only when each pool of its later stages
// will have time and result memory for it, so that excess requests wait where
// they hold no results, and started requests are not delayed. Requests that
// would be on time behind the started work go first, in order of priority; the
// others use the remaining capacity. Each priority gets a guaranteed share.
std::vector<AdmissionId> AdmitRequests(AdmissionQueue& queue,
                                       const PoolThroughputs& throughputs,
                                       TimePoint now);

// Removes and returns the waiting requests whose callers would give up before
// the response arrives.
std::vector<AdmissionId> TakeExpired(AdmissionQueue& queue, TimePoint now);

// Decides whether a new request is refused at once, since it could not be
// served before its caller gives up. Returns the time after which its caller
// should retry, or nothing if the request may wait: a request that is predicted
// to be late waits for capacity that no other one needs, where it is served no
// later than if its caller returned, and delays nobody.
std::optional<Duration> DecideRefusal(const AdmissionQueue& queue,
                                      const PoolThroughputs& throughputs,
                                      const WaitingRequest& request,
                                      TimePoint now);

// Removes one stage's work from a started request: the pool has nothing more
// to do for that stage.
void FinishWork(AdmissionQueue& queue,
                AdmissionId id,
                const PoolId& pool,
                int items);
// Removes a request that has ended, waiting or started.
void RemoveRequest(AdmissionQueue& queue, AdmissionId id);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_ADMISSION_ADMISSION_QUEUE_H_
