#ifndef PERIDOTMILL_GATEWAY_REQUESTS_GATEWAY_H_
#define PERIDOTMILL_GATEWAY_REQUESTS_GATEWAY_H_

#include <cstdint>
#include <memory>
#include <unordered_map>

#include "peridotmill_core/http/response_writer.h"
#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/reasons/reason_counters.h"
#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/calls/caller_request.h"
#include "peridotmill_gateway/calls/endpoint_call.h"
#include "peridotmill_gateway/configuration/active_configuration.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"
#include "peridotmill_gateway/repeats/repeat_budget.h"
#include "peridotmill_gateway/stages/stage_task.h"

namespace peridotmill {

class GatewayRequest;

// What the requests of a node share.
struct GatewayContext {
  const Clock& clock;
  TimerQueue& timers;
  EndpointCaller& endpoint_caller;
  StageCaller& stage_caller;
  StageWorker& stage_worker;
  EndpointRegistry& endpoints;
  RepeatBudget& repeats;
  EventSink& events;
  FailureDomainId failure_domain;
};

// Outcomes since the start, for the metrics page.
struct GatewayCounters {
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t denied = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t cut = 0;
  uint64_t caller_gone = 0;
  uint64_t repeats = 0;
  uint64_t resumed_streams = 0;
};

// Passes callers' requests on to endpoints by the routes in force.
class Gateway {
 public:
  Gateway(const GatewayContext& context, uint64_t seed);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Requests accepted from now on follow this configuration. A revision that is
  // not above the one in force changes nothing; returns whether it was adopted.
  bool SetConfiguration(ActiveConfigurationPtr configuration);
  const ActiveConfigurationPtr& configuration() const { return configuration_; }

  // Refuses further requests, which have not run.
  void StopAccepting() { is_accepting_ = false; }

  void Handle(CallerRequest request, std::shared_ptr<ResponseWriter> channel);

  size_t open_requests() const { return requests_.size(); }
  const GatewayCounters& counters() const { return counters_; }
  const ReasonCounters& reasons() const { return reasons_; }

 private:
  friend class GatewayRequest;

  // Answers a request that the configuration does not allow.
  void Deny(const CallerRequest& request,
            ResponseWriter& channel,
            int status,
            Reason reason);
  PoolId ChoosePool(const RouteDefinition& route);
  void Release(GatewayRequest* request);

  GatewayContext context_;
  Random random_;
  ActiveConfigurationPtr configuration_;
  bool is_accepting_ = true;
  GatewayCounters counters_;
  ReasonCounters reasons_;
  std::unordered_map<GatewayRequest*, std::unique_ptr<GatewayRequest>>
      requests_;
  // Requests that have ended, destroyed from the main loop.
  std::vector<std::unique_ptr<GatewayRequest>> ended_;
  std::unique_ptr<Timer> sweep_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REQUESTS_GATEWAY_H_
