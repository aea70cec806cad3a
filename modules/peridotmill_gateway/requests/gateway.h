#ifndef PERIDOTMILL_GATEWAY_REQUESTS_GATEWAY_H_
#define PERIDOTMILL_GATEWAY_REQUESTS_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "peridotmill_core/http/response_writer.h"
#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/reasons/reason_counters.h"
#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/calls/caller_request.h"
#include "peridotmill_gateway/calls/endpoint_call.h"
#include "peridotmill_gateway/configuration/active_configuration.h"
#include "peridotmill_gateway/estimates/completion_times.h"
#include "peridotmill_gateway/estimates/first_event_times.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/quarantine/crash_quarantine.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"
#include "peridotmill_gateway/retries/pool_retry_budget.h"
#include "peridotmill_gateway/stages/stage_task.h"
#include "peridotmill_gateway/streams/stream_versions.h"

namespace peridotmill {

class GatewayRequest;

// Services and state that all requests of a node use.
struct GatewayContext {
  const Clock& clock;
  TimerQueue& timers;
  EndpointCaller& endpoint_caller;
  StageCaller& stage_caller;
  StageTaskExecutor& stage_worker;
  EndpointRegistry& endpoints;
  PoolRetryBudget& retry_budget;
  EventSink& events;
  FailureDomainId failure_domain;
  // May be null.
  CrashQuarantine* quarantine = nullptr;
  // May be null.
  StreamVersions* stream_versions = nullptr;
  // Returns whether this node knows that there is a newer configuration. May be
  // empty.
  std::function<bool()> is_configuration_outdated;
  // Bytes of responses held back in the whole node, above which each further
  // response may hold back little.
  size_t max_buffered_response_bytes = size_t{32} << 20;
};

// Numbers of requests by outcome since the process started, for the metrics
// page.
struct GatewayCounters {
  uint64_t requests = 0;
  uint64_t answered = 0;
  // Unknown route, or a missing or unknown team key.
  uint64_t denied = 0;
  // Got an error response which states that the request has not run.
  uint64_t refused = 0;
  // Got an error response although the request may have run.
  uint64_t failed = 0;
  // Aborted after a part of the response was sent.
  uint64_t cut = 0;
  // The caller closed its connection before the response ended.
  uint64_t caller_gone = 0;
  // Attempts that were charged to the retry budget.
  uint64_t repeats = 0;
  uint64_t resumed_streams = 0;
  // Attempts that went to a warm endpoint while others of the pool were cold.
  uint64_t passed_warming = 0;
};

// Forwards callers' requests to endpoints according to the routes of the active
// configuration.
class Gateway {
 public:
  Gateway(const GatewayContext& context, uint64_t seed);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Activates `configuration` for requests that are accepted from now on, and
  // returns true. Returns false and changes nothing if its revision is not
  // higher than the active one.
  bool SetConfiguration(ActiveConfigurationPtr configuration);
  const ActiveConfigurationPtr& configuration() const { return configuration_; }

  // Begins to stop: each request gets a final response by `end`, and requests
  // that are unlikely to finish by then are refused as not run, so that their
  // callers can try another node in time. From `removed` on, the load balancer
  // sends callers here only if it has too few other nodes.
  void BeginStopping(TimePoint removed, TimePoint end);
  // Refuses the open requests that have not been sent to an endpoint and have
  // become unlikely to finish before the end of the stop.
  void RefuseUnfinishableRequests();

  // Handles `request` and sends the response to `channel`, either at once or
  // later.
  void Handle(CallerRequest request, std::shared_ptr<ResponseWriter> channel);

  size_t open_requests() const { return requests_.size(); }
  size_t buffered_response_bytes() const { return buffered_response_bytes_; }
  // Writes one event for each open request, with what it waits for.
  void LogOpenRequests() const;
  const GatewayCounters& counters() const { return counters_; }
  const ReasonCounters& reasons() const { return reasons_; }

 private:
  friend class GatewayRequest;

  // Sends an error response to a request that was not accepted.
  void Refuse(const CallerRequest& request,
              ResponseWriter& channel,
              Reason reason,
              Duration retry_after);
  // Refuses a request that has no route or no valid team key. Callers do not
  // repeat such a request, so it is refused for a while instead if a newer
  // configuration may allow it.
  void Deny(const CallerRequest& request,
            ResponseWriter& channel,
            int status,
            Reason reason);
  // Ends the requests that wait and are among these suspects or contain one.
  void EndQuarantinedRequests(const std::vector<SuspectId>& quarantined);
  // Returns one of the route's pools, drawn at random by weight.
  PoolId ChoosePool(const RouteDefinition& route);
  std::vector<GatewayRequest*> OpenRequests() const;
  // Removes an ended request. It is destroyed later from the main loop,
  // since its own member functions may still be on the stack.
  void RemoveRequest(GatewayRequest* request);

  GatewayContext context_;
  Random random_;
  ActiveConfigurationPtr configuration_;
  // Set while the node stops.
  struct Stop {
    TimePoint removed;
    TimePoint end;
  };
  std::optional<Stop> stop_;
  GatewayCounters counters_;
  ReasonCounters reasons_;
  // Bytes of unfinished responses and events that the requests hold back.
  size_t buffered_response_bytes_ = 0;
  FirstEventTimes first_event_times_;
  CompletionTimes completion_times_;
  std::unordered_map<GatewayRequest*, std::unique_ptr<GatewayRequest>>
      requests_;
  // Requests that have ended and are not destroyed yet.
  std::vector<std::unique_ptr<GatewayRequest>> ended_requests_;
  std::unique_ptr<Timer> cleanup_timer_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REQUESTS_GATEWAY_H_
