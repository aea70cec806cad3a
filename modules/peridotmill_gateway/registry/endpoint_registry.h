#ifndef PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_REGISTRY_H_
#define PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_REGISTRY_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "peridotmill_gateway/registry/domain_health.h"
#include "peridotmill_gateway/registry/endpoint_registration.h"

namespace peridotmill {

// An endpoint and what this node has seen of it.
struct Endpoint {
  EndpointRegistration registration;
  // Shared by all endpoints of its failure domain.
  std::shared_ptr<DomainHealth> domain = std::make_shared<DomainHealth>();
  // Calls of this node that have not ended.
  int open_calls = 0;
  // Load that the endpoint reported last, and when.
  int reported_running = 0;
  int reported_waiting = 0;
  TimePoint reported_at;
  // Time that its stage calls take as a multiple of what their pool states.
  double call_time_ratio = 1;
  // Failures since the last success.
  int failures_in_row = 0;
  // Takes no work before this time, unless no other endpoint is left.
  TimePoint ejected_until;
  // Start of each open call that has had no answer yet, oldest first.
  std::deque<TimePoint> unanswered_since;
  // Room that results of this node's stage calls take, or will take when the
  // calls in progress end.
  int64_t result_bytes = 0;
  // Room that was found taken by results that this node does not know, such as
  // those of a coordinator that died, and when.
  int64_t untracked_result_bytes = 0;
  TimePoint untracked_results_since;
  // Since when a stage call waits for room there.
  TimePoint capacity_wait_since;
  // The registration is gone; the object lives on while calls are open.
  bool is_removed = false;
};

using EndpointPtr = std::shared_ptr<Endpoint>;

// How a call to an endpoint went, for judging the endpoint.
enum class CallOutcome : uint8_t {
  kSuccess,
  kRefused,
  kFailure,
  kCancelled,
  // No answer within the time limit, or no connection: the endpoint is dead or
  // cut off, and the next call would cost as much time.
  kUnresponsive,
};

// Endpoints that have registered, by pool.
class EndpointRegistry {
 public:
  // Inserts or replaces a registration. An endpoint that started anew loses
  // what was known of it.
  void Put(EndpointRegistration registration);
  void Remove(const EndpointId& id);
  // Keeps exactly these; the others are removed.
  void ReplaceAll(std::vector<EndpointRegistration> registrations);

  // Endpoints of a pool that take new work, in order of id.
  const std::vector<EndpointPtr>& Serving(const PoolId& pool) const;
  size_t size() const { return by_id_.size(); }

  // Leaves an endpoint alone for a while: another node could not connect to it.
  void EjectReportedEndpoint(const EndpointId& id, TimePoint now);

  // Whether the failure domain answers this node.
  DomainHealth& Domain(const FailureDomainId& domain);
  // Domains that this node itself believes to be cut off.
  std::vector<FailureDomainId> SuspectedDomains() const;

 private:
  void Rebuild(const PoolId& pool);

  std::map<EndpointId, EndpointPtr> by_id_;
  std::unordered_map<PoolId, std::vector<EndpointPtr>> serving_;
  std::map<FailureDomainId, std::shared_ptr<DomainHealth>> domains_;
};

// Notes the start of a call.
void BeginCall(Endpoint& endpoint, TimePoint now);
// Notes that a call waits for its answer no longer.
void RemoveUnansweredCall(Endpoint& endpoint, TimePoint started);
// Notes the first byte of a call's answer.
void RecordFirstResponseByte(Endpoint& endpoint,
                             TimePoint started,
                             TimePoint now);
// Notes the end of a call.
void EndCall(Endpoint& endpoint, CallOutcome verdict, TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REGISTRY_ENDPOINT_REGISTRY_H_
