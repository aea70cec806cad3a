#ifndef PERIDOTMILL_GATEWAY_REQUESTS_GATEWAY_REQUEST_H_
#define PERIDOTMILL_GATEWAY_REQUESTS_GATEWAY_REQUEST_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "peridotmill_core/http/response_writer.h"
#include "peridotmill_gateway/calls/endpoint_call.h"
#include "peridotmill_gateway/placement/endpoint_placement.h"
#include "peridotmill_gateway/requests/attempt_history.h"
#include "peridotmill_gateway/requests/gateway.h"
#include "peridotmill_gateway/requests/refusal.h"
#include "peridotmill_gateway/requests/stage_progress.h"
#include "peridotmill_gateway/streams/event_splitter.h"
#include "peridotmill_gateway/streams/stream_end.h"

namespace peridotmill {

// Processes one accepted request: runs the stages of its route, makes attempts
// at endpoints, and sends the response to the caller. Removes itself from the
// gateway when the request ends.
class GatewayRequest final : public EndpointCallListener,
                             public StageTaskListener {
 public:
  GatewayRequest(Gateway* gateway,
                 ActiveConfigurationPtr configuration,
                 const RouteDefinition* route,
                 TeamId team,
                 int priority,
                 CallerRequest request,
                 std::shared_ptr<ResponseWriter> channel);
  ~GatewayRequest() override;

  void Start();

  // Moves the deadline to `end` if it is later, because the node stops then.
  void LimitDeadline(TimePoint end);
  // Refuses the request if the node stops, the request has not been sent to an
  // endpoint, and it is unlikely to finish before the end of the stop.
  void RefuseIfUnfinishable();
  // Writes what the request waits for to the event log. Called for a request
  // that is still open when the process exits.
  void LogUnfinished() const;

  // Ends the request if it is one of these suspects or its prompt has one of
  // them, unless an endpoint has begun to answer it.
  void OnQuarantined(const std::vector<SuspectId>& quarantined);

 private:
  // EndpointCallListener
  void OnResponseHead(const EndpointResponseHead& head) override;
  void OnResponseBody(std::string_view bytes) override;
  void OnResponseEnd(HttpCallEnd end) override;
  // StageTaskListener
  void OnStageTaskEnd(size_t stage, StageTaskResult result) override;

  void OnCallerDisconnected();
  void OnDeadlineExpired();
  void OnProgressTimeout();

  // Starts the stages or the first attempt, unless the request is quarantined.
  void Begin();
  // Starts the first attempt of a request that has no stages to run. Asks the
  // coordinator for an engine first if the request is a generation stream.
  void StartWithoutStages();
  PromptDemand MakePromptDemand();

  // Stages.
  bool HasStages() const { return !route_->stages.empty(); }
  // Sets the failure domain in which the first stages should run to that of the
  // engine which is likely to serve the request.
  void ChooseStageDomain();
  // Returns the time after which the request has very likely finished.
  Duration PredictRemainingTime() const;
  // Returns whether the node stops, and the request is unlikely to finish
  // before the end of the stop.
  bool IsUnfinishable() const;
  // Returns whether the request came after the load balancer had removed the
  // stopping node.
  bool IsLateForStop() const;
  // Returns how long the caller waits for the first event.
  Duration CallerTimeout() const;
  StageTask MakeStageTask(size_t stage);
  void SubmitReadyStages();
  // Runs all stages again after some of their results were lost. Returns false
  // if the number of reruns or the retry budget does not allow it.
  bool RerunStages();
  // Returns whether the number of reruns and the retry budget allow another
  // rerun, and charges the budget.
  bool TryTakeStageRerun();
  void BeginStageRerun();
  // Returns the latest time at which `stage` may end so that the engine's first
  // event comes by `limit`.
  TimePoint LatestStageEnd(size_t stage, TimePoint limit) const;

  // Attempts.
  void StartAttempt();
  // Returns the endpoints that may serve the request: those of its pool, or of
  // the software version that has begun its stream. Valid until the next call.
  const std::vector<EndpointPtr>& Candidates() const;
  // Returns whether the request begins no stream that another attempt of the
  // caller has begun, or the version of that is known. Otherwise it has been
  // refused, or Begin is called again.
  bool MayTakeUpStream();
  // Lets the stream go on only at the version of the present attempt.
  void BindStreamVersion();
  // Waits for a permit if all endpoints of the pool have limits and a permit
  // can be expected soon. Returns whether it does.
  bool WaitForPermit();
  // Returns the engine that the coordinator suggested, or null if there is
  // none, it has been tried before, or it is not trusted. Clears the
  // suggestion.
  EndpointPtr TakeSuggestedEngine(TimePoint now);
  // Asks the coordinator which engine to use for the prompt. `failed_engine` is
  // the engine that refused a connection, or empty.
  void RequestEngine(const EndpointId& failed_engine);
  // Restarts the timer that ends an attempt without progress, if the route
  // allows another attempt.
  void RestartProgressTimer();

  // Takeovers (stream_takeover.cc): an endpoint that is silent is replaced by
  // another one. While stages have to run again for that, the attempt goes on.
  // Returns whether an endpoint that is not in `history` can be called now.
  bool CanTakeOver(const AttemptHistory& history) const;
  // Returns the history with the current attempt as one that may have run.
  AttemptHistory HistoryAfterAbandonment() const;
  void AbandonAttempt();
  // Replaces the silent endpoint after the stages have run again.
  void TakeOver();
  // Leaves the response to the silent endpoint.
  void CancelTakeover(std::string_view reason);
  // Waits until an engine may be called that goes on with a stream whose silent
  // engine was given up. Returns false if the caller gives up before, or the
  // stream was not begun.
  bool WaitToResume();
  void TryToResume();

  // Stops reading from the endpoint while the caller has too many unsent bytes.
  void PauseResponseIfCallerIsSlow();
  // Updates the share of this request in the buffered bytes of the node.
  void CountBufferedBytes();
  // Returns how many bytes of an unfinished response or event this request may
  // buffer: `usual_limit`, or less while the node buffers too many.
  size_t BufferLimit(size_t usual_limit) const;
  void ResumeResponse();
  void EndAttempt(CallOutcome verdict, AttemptOutcome outcome);
  void HandleFailedAttempt(AttemptOutcome outcome, Reason reason);
  // Returns when the first endpoint of the pool accepts requests again if all
  // of them are held off.
  std::optional<TimePoint> PoolHoldOffEnd() const;
  // Returns the time after which a refused caller may find an endpoint.
  Duration EndpointRetryAfter();
  // Returns whether the pool has an endpoint that accepts requests and is not
  // in `history`.
  bool HasUntriedEndpoint(const AttemptHistory& history) const;
  // Returns whether the request may be sent to another endpoint after
  // `outcome`. Charges the retry budget unless nothing was sent.
  bool TryTakeRetry(AttemptOutcome outcome);
  bool IsStream() const { return route_->kind == RequestKind::kStream; }
  // Returns whether the caller has received the head and an event of a stream.
  bool IsStreamStarted() const { return first_event_at_ != TimePoint(); }
  // Returns whether the caller has received the head of a response that is no
  // stream, which only the same endpoint can complete.
  bool IsPlainResponseStarted() const {
    return is_response_head_sent_ && !IsStreamStarted();
  }
  // Returns whether the current response is an engine's event stream, which
  // starts or resumes the caller's.
  bool IsAuthenticStreamResponse() const;
  StreamEnd EndOfStream() const {
    // The head alone is the whole response to HEAD.
    return {.events = AttemptEventCount(),
            .ends_inside_event = event_splitter_.ends_inside_event(),
            .is_resumption = resumed_after_events_.has_value(),
            .ends_with_connection = response_head_.ends_with_connection &&
                                    request_.message.method != "HEAD"};
  }
  void ForwardStreamBytes(std::string_view bytes);
  // `events_before` is the number of events received before these.
  void ForwardEvents(std::string_view complete_events, uint64_t events_before);
  void ForwardCompleteResponse();
  void SendResponseHead(std::optional<uint64_t> content_length);

  // Quarantine (request_quarantine.cc).
  // Returns the parts of the prompt, and the id of the whole request if it may
  // be suspected.
  const std::vector<SuspectId>& Suspects();
  // Returns the id of the whole request.
  SuspectId Identify();
  // Returns whether the request may go on. Otherwise it has been refused, or
  // `next` is called again while it waits for the decision about a probe.
  bool MayPassQuarantine(void (GatewayRequest::*next)());
  // Returns the number of events that the current attempt has sent.
  uint64_t AttemptEventCount() const {
    return event_splitter_.event_count() - events_before_attempt_;
  }
  // Tells the quarantine whether the endpoint survived the request.
  void RecordAttemptEnd(HttpCallEnd end);
  void RecordProgress(uint64_t events_before);

  // Ending the request.
  // Sends an error response, or aborts the response if its head has been sent.
  void Fail(Reason reason, Duration retry_after);
  // Resets the caller's connection in the middle of a response.
  void AbortResponse(Reason reason);
  // Releases all resources, logs the outcome and removes the request.
  void End(std::string_view outcome, int status, std::string_view reason);
  Duration TimeSinceAcceptance() const;
  PlacementRequest MakePlacementRequest() const;

  Gateway* gateway_;
  GatewayContext& context_;
  ActiveConfigurationPtr configuration_;
  const RouteDefinition* route_;
  TeamId team_;
  int priority_;
  CallerRequest request_;
  std::shared_ptr<ResponseWriter> channel_;
  TimePoint accepted_at_;
  TimePoint deadline_;
  // The deadline is the end of the node's stop instead of the caller's.
  bool is_deadline_end_of_stop_ = false;
  PoolId pool_;

  StageProgress stage_progress_;
  std::vector<std::unique_ptr<StageTaskHandle>> stage_tasks_;
  // Task without items that only asks for an engine; kept until the engine
  // responds.
  std::unique_ptr<StageTaskHandle> placement_task_;
  FailureDomainId preferred_stage_domain_;
  // The first stage is done, so the request has passed admission.
  bool is_admitted_ = false;
  // The engine that the coordinator chose for the next attempt; empty if none.
  EndpointId suggested_engine_;
  // The stage results have been released because the engine has fetched them.
  bool are_results_released_ = false;
  // How often the stages were run again because results were lost.
  int stage_rerun_count_ = 0;
  // The stages run again so that another engine can replace a silent one.
  bool is_preparing_takeover_ = false;

  AttemptHistory attempt_history_;
  // Addresses of the attempts so far. A new endpoint may have the address of
  // one that was tried.
  std::set<std::string> called_addresses_;
  EndpointPtr endpoint_;
  std::unique_ptr<EndpointCallHandle> call_;
  TimePoint attempt_started_at_;
  EndpointResponseHead response_head_;
  bool has_response_head_ = false;
  uint64_t events_before_attempt_ = 0;
  RequestFingerprint fingerprint_ = 0;
  // Shared parts of the prompt.
  std::vector<SuspectId> prompt_parts_;
  // Set once the whole request has been identified.
  std::optional<SuspectId> id_;
  // The parts, and the whole request once it has been identified.
  std::vector<SuspectId> suspects_;
  // The request may have crashed an endpoint.
  bool is_crash_suspect_ = false;
  std::string response_body_;
  // Part of Gateway::buffered_response_bytes_ that this request takes.
  size_t counted_buffered_bytes_ = 0;
  EventSplitter event_splitter_;
  // Number of events received before the attempt, if it resumes the stream.
  std::optional<uint64_t> resumed_after_events_;
  bool is_response_head_sent_ = false;
  bool is_paused_ = false;
  // The coordinator has been asked for an engine and has not responded yet.
  bool is_awaiting_engine_ = false;
  TimePoint first_event_at_;
  TimePoint last_event_at_;
  // The engine of the stream that was given up because it was silent; empty
  // once another one has sent an event.
  EndpointId abandoned_engine_;
  std::unique_ptr<Timer> deadline_timer_;
  std::unique_ptr<Timer> progress_timer_;
  // Set while the request waits for a permit.
  std::unique_ptr<Timer> permit_timer_;
  // The software version that has begun the stream, once it is known.
  std::optional<std::string> stream_version_;
  std::string attempt_version_;
  // What Candidates returns if the version is known.
  mutable std::vector<EndpointPtr> candidates_;
  // Set while the request waits for the version that began its stream.
  std::unique_ptr<Timer> version_timer_;
  // Set while the request waits for the decision about a probe.
  std::unique_ptr<Timer> quarantine_timer_;
  // Set while a stream waits for an engine that goes on with it.
  std::unique_ptr<Timer> resume_timer_;
  // Until when the request may wait for a permit; set when it begins to.
  std::optional<TimePoint> permit_wait_end_;
  bool is_ended_ = false;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REQUESTS_GATEWAY_REQUEST_H_
