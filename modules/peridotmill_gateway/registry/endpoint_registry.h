#ifndef PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_REGISTRY_H_
#define PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_REGISTRY_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/pace/endpoint_pace.h"
#include "peridotmill_gateway/registry/domain_health.h"
#include "peridotmill_gateway/registry/endpoint_notice.h"
#include "peridotmill_gateway/registry/endpoint_registration.h"
#include "peridotmill_gateway/warm_up/warm_up.h"

namespace peridotmill {

// A registered endpoint and this node's observations of it.
struct Endpoint {
  EndpointRegistration registration;
  // Shared by all endpoints of its failure domain.
  std::shared_ptr<DomainHealth> domain = std::make_shared<DomainHealth>();
  // This node's calls in flight.
  int open_calls = 0;
  // Numbers of running and waiting requests in the endpoint's last load report,
  // and the time of that report.
  int reported_running = 0;
  int reported_waiting = 0;
  TimePoint reported_at;
  EndpointPace pace;
  // Duration of the endpoint's stage calls divided by the one configured for
  // their pool.
  double call_time_ratio = 1;
  // Failed calls since the last successful one.
  int consecutive_failures = 0;
  // The endpoint gets no work before this time, unless no other one is left.
  TimePoint ejected_until;
  // Start times of the calls in flight without a response yet, oldest first.
  std::deque<TimePoint> unanswered_since;
  // Memory at the endpoint taken by results of this node's stage calls,
  // including those of the calls in flight.
  int64_t result_bytes = 0;
  // Memory at the endpoint that was found to be taken by results that this node
  // does not track, such as those of a failed coordinator, and the time of that
  // observation.
  int64_t untracked_result_bytes = 0;
  TimePoint untracked_results_since;
  // Time since which a stage call has been waiting until the endpoint has
  // memory for its results.
  TimePoint capacity_wait_since;
  // The endpoint has said in a response that it is about to exit. It gets no
  // more work, whatever its registration says.
  bool is_leaving = false;
  // The endpoint has asked in a response for no work before this time. It gets
  // none, even if no other endpoint is left.
  TimePoint held_off_until;
  // What the endpoint accepts from all nodes together, if it has named a limit.
  // Each call to it then takes a permit.
  std::optional<RequestRate> limit;
  // When the limit, or that there is none, was last observed in a response, by
  // this node or by another one.
  TimePoint limit_observed_at;
  // Times at which this node's permits expire, the soonest first.
  std::deque<TimePoint> permits;
  // When the next permit can be expected while there is none.
  TimePoint next_permit_at;
  // Calls that took permits since more were requested.
  int permits_taken = 0;
  // Bounds the calls of all nodes together while the endpoint is cold.
  WarmUp warm_up;
  // Whether the registration was removed or replaced. The object remains in use
  // while calls to the endpoint are in flight.
  bool is_removed = false;
};

using EndpointPtr = std::shared_ptr<Endpoint>;

// Result of a call as far as it affects the endpoint's health.
enum class CallOutcome : uint8_t {
  kSuccess,
  kRefused,
  kFailure,
  kCancelled,
  // The call timed out without a response, or connecting failed. The endpoint
  // has failed or is unreachable, and another call would take as long.
  kUnresponsive,
};

// What is new about an endpoint after one of its notices.
struct NoticeNews {
  bool is_leaving = false;
  // A hold-off has begun, or one that had ended begins again.
  bool is_held_off = false;
  // The endpoint names a limit that it did not name before, another one, or
  // none any more.
  bool is_limit_changed = false;
  // The endpoint has become cold, or again.
  bool is_cold = false;
};

// The registered endpoints, by pool.
class EndpointRegistry {
 public:
  // Inserts or replaces a registration. The observations of an endpoint that
  // has restarted or changed its address are discarded.
  void Put(EndpointRegistration registration);
  void Remove(const EndpointId& id);
  // Inserts or replaces these registrations and removes all others.
  void ReplaceAll(std::vector<EndpointRegistration> registrations);

  // Returns the endpoints of a pool that accept new work and are in no
  // evacuated failure domain, in order of their ids.
  const std::vector<EndpointPtr>& Serving(const PoolId& pool) const;
  size_t size() const { return by_id_.size(); }
  // Returns how many registered endpoints have stated their pace to this node.
  size_t CountStatedPaces() const;

  // Records what an endpoint asked for in a response. What it asked for
  // outlasts its registration, which may expire and return while the store is
  // unavailable; it is forgotten after an hour, and the oldest first beyond
  // 4096 endpoints.
  NoticeNews RecordNotice(const EndpointIncarnation& endpoint,
                          const EndpointNotice& notice,
                          TimePoint now);
  // Returns the end of the last hold-off that an endpoint asked for, whether it
  // is registered or not.
  TimePoint HeldOffUntil(const EndpointIncarnation& endpoint) const;

  // Records a limit, or that there is none, which another node observed. Does
  // nothing if this node has a later observation.
  void RecordPeerLimit(const EndpointIncarnation& endpoint,
                       std::optional<RequestRate> limit,
                       TimePoint observed_at);
  // Returns whether the endpoint has named a limit, registered or not.
  bool IsLimited(const EndpointIncarnation& endpoint) const;
  // Returns the registered endpoints that have named a limit.
  std::vector<EndpointPtr> LimitedEndpoints() const;
  // Returns the registered endpoint, or null if another process or none is
  // registered.
  EndpointPtr Find(const EndpointIncarnation& endpoint) const;
  // Records that there are requests for a pool. Permits are requested only for
  // pools with recent demand.
  void RecordDemand(const PoolId& pool, TimePoint now);
  TimePoint LastDemand(const PoolId& pool) const;
  // `callback` is called when a request needs permits of a pool.
  void set_on_permits_needed(std::function<void()> callback) {
    on_permits_needed_ = std::move(callback);
  }

  // Sends nothing more to the endpoints of a failure domain, registered now or
  // later, until the evacuation ends. Then those in pools with a bound on
  // warm-ups count as cold for the pool's warm-up time.
  void BeginEvacuation(const FailureDomainId& domain);
  void EndEvacuation(const FailureDomainId& domain, TimePoint now);
  // Returns whether the endpoint is in an evacuated failure domain. Returns
  // true for one that is not registered while any domain is evacuated.
  bool IsEvacuated(const EndpointIncarnation& endpoint) const;

  // Sets the bounds on requests to warming endpoints, by pool. Pools that are
  // not in `bounds` have none.
  void SetWarmUpBounds(const std::map<PoolId, PoolWarmUp>& bounds);
  // Records that a process of an endpoint stays cold for `left`, whether it is
  // registered yet or not. An earlier and longer statement stays in force.
  // More than ten minutes are not believed.
  // Returns whether the endpoint was warm before.
  bool RecordWarmUp(const EndpointIncarnation& endpoint,
                    Duration left,
                    TimePoint now);
  // Returns until when a process of an endpoint is cold, if that bounds what it
  // is sent; otherwise, or if it is not registered, a time in the past.
  TimePoint WarmUpEnd(const EndpointIncarnation& endpoint) const;
  // Returns whether an endpoint of the pool may be warming up.
  bool HasWarmingEndpoints(const PoolId& pool, TimePoint now) const;
  size_t CountWarmingEndpoints(TimePoint now) const;
  // Calls to endpoints that were warming up.
  uint64_t warm_up_call_count() const;

  // Ejects an endpoint temporarily. Called when another node has reported that
  // it could not connect to it.
  void EjectReportedEndpoint(const EndpointId& id, TimePoint now);

  // Returns the health of a failure domain; adds an entry if there is none.
  DomainHealth& Domain(const FailureDomainId& domain);
  // Returns the domains that this node itself believes to be unreachable.
  std::vector<FailureDomainId> SuspectedDomains() const;

 private:
  // The notices of one process of an endpoint.
  struct RecordedNotices {
    bool is_leaving = false;
    TimePoint held_off_until;
    std::optional<RequestRate> limit;
    TimePoint limit_observed_at;
    // When a response last named a limit.
    TimePoint limit_named_at;
    // The endpoint is cold until then.
    TimePoint warm_up_end;
    TimePoint updated_at;
  };

  void RebuildServing(const PoolId& pool);
  void RebuildAllServing();
  // Returns the bound of a pool; adds one that bounds nothing if there is none.
  const std::shared_ptr<PoolWarmUp>& WarmUpOf(const PoolId& pool);
  // Returns whether the limit differs from the recorded one.
  bool SetLimit(const EndpointIncarnation& endpoint,
                std::optional<RequestRate> limit,
                TimePoint observed_at,
                TimePoint now);
  RecordedNotices& FindOrAddNotices(const EndpointIncarnation& endpoint,
                                    TimePoint now);

  std::map<EndpointId, EndpointPtr> by_id_;
  std::map<EndpointIncarnation, RecordedNotices> notices_;
  std::unordered_map<PoolId, std::vector<EndpointPtr>> serving_;
  std::map<FailureDomainId, std::shared_ptr<DomainHealth>> domains_;
  std::set<FailureDomainId> evacuated_domains_;
  std::map<PoolId, std::shared_ptr<PoolWarmUp>> warm_ups_;
  std::unordered_map<PoolId, TimePoint> last_demand_;
  std::function<void()> on_permits_needed_;
};

// Records what an endpoint asked for in a response, and logs what is new.
void RecordEndpointNotice(EndpointRegistry& registry,
                          EventSink& events,
                          const EndpointIncarnation& endpoint,
                          const EndpointNotice& notice,
                          TimePoint now);

// Returns whether the endpoint has asked for no work at this time, has named a
// limit and this node has no permit to call it, or is warming up and it is not
// this node's turn to call it.
bool IsHeldOff(const Endpoint& endpoint, TimePoint now);
// Returns the number of permits that have not expired.
int CountPermits(const Endpoint& endpoint, TimePoint now);
// Returns whether all of these endpoints are held off, and one of them only for
// lack of a permit or of a turn.
bool AwaitsPermit(const std::vector<EndpointPtr>& serving, TimePoint now);
// Returns the time at which the first of these endpoints accepts work again if
// all of them are held off; otherwise, or if there are none, returns nothing.
std::optional<TimePoint> FindHoldOffEnd(const std::vector<EndpointPtr>& serving,
                                        TimePoint now);

// Records the start of a call, and takes a permit if the endpoint has a limit.
void BeginCall(Endpoint& endpoint, TimePoint now);
// Removes the call that started at `started` from Endpoint::unanswered_since.
// Called at its first response byte or when it ends without one.
void RemoveUnansweredCall(Endpoint& endpoint, TimePoint started);
// Records the first byte of the response to a call.
void RecordFirstResponseByte(Endpoint& endpoint,
                             TimePoint started,
                             TimePoint now);
// Records the end of a call and updates the health of the endpoint and of its
// domain.
void EndCall(Endpoint& endpoint, CallOutcome outcome, TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_REGISTRY_H_
