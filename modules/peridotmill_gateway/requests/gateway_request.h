#ifndef PERIDOTMILL_GATEWAY_REQUESTS_GATEWAY_REQUEST_H_
#define PERIDOTMILL_GATEWAY_REQUESTS_GATEWAY_REQUEST_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peridotmill_core/http/caller_channel.h"
#include "peridotmill_gateway/calls/endpoint_call.h"
#include "peridotmill_gateway/placement/endpoint_placement.h"
#include "peridotmill_gateway/requests/attempt_history.h"
#include "peridotmill_gateway/requests/gateway.h"
#include "peridotmill_gateway/requests/refusal.h"
#include "peridotmill_gateway/requests/stage_progress.h"
#include "peridotmill_gateway/streams/event_splitter.h"

namespace peridotmill {

// One request from its acceptance to its end: the stages of its route, its
// attempts at endpoints, and the answer.
class GatewayRequest final : public EndpointCallListener,
                             public StageTaskListener {
 public:
  GatewayRequest(Gateway* gateway,
                 ActiveConfigurationPtr configuration,
                 const RouteDefinition* route,
                 TeamId team,
                 int priority,
                 CallerRequest request,
                 std::shared_ptr<CallerChannel> channel);
  ~GatewayRequest() override;

  void Start();

 private:
  // EndpointCallListener
  void OnAnswerHead(const EndpointAnswerHead& head) override;
  void OnAnswerBody(std::string_view bytes) override;
  void OnAnswerEnd(HttpCallEnd end) override;
  // StageTaskListener
  void OnStageTaskEnd(size_t stage, StageTaskResult result) override;

  void OnCallerGone();
  void OnTimeout();
  void OnSilence();

  // Asks the coordinator for an engine, if the request needs one.
  void StartWithoutStages();
  PromptDemand DescribePrompt() const;

  // Stages.
  bool HasStages() const { return !route_->stages.empty(); }
  // Prefers the failure domain of the engine that is likely to serve the
  // request for its stages.
  void ChooseWorkDomain();
  // Until the caller gives up waiting for the first event.
  Duration Patience() const;
  // Whether the caller has been refused before.
  bool IsReturning() const;
  // What the stages will ask of their pools.
  std::vector<PlannedWork> PlanStages() const;
  // When a refused caller should come back, if the queue has drained after
  // `drained`.
  Duration BoundRetry(Duration drained) const;
  StageTask DescribeStage(size_t stage) const;
  void SubmitReadyStages();
  // Produces all results again after some were lost.
  bool RepeatStages();
  // Latest end of a stage with which the rest of the request ends by `limit`.
  TimePoint LatestEnd(size_t stage, TimePoint limit) const;

  // Attempts.
  void StartAttempt();
  // The engine that the stages' coordinator chose, once, if it can be used.
  EndpointPtr TakeSuggestedEngine(TimePoint now);
  // Asks the coordinator where to send the prompt.
  void AskForEngine(const EndpointId& failed_engine);
  void ArmSilenceTimer();
  // Lets the endpoint wait while its caller does not read.
  void PauseAnswerIfUnread();
  void ResumeAnswer();
  void EndAttempt(CallOutcome verdict, AttemptOutcome outcome);
  void HandleFailedAttempt(AttemptOutcome outcome, Reason reason);
  bool TakeRepeat(AttemptOutcome outcome);
  bool IsStream() const { return route_->kind == RequestKind::kStream; }
  void ForwardStreamBytes(std::string_view bytes);
  void ForwardWholeAnswer();
  void SendAnswerHead(std::optional<uint64_t> content_length);

  // Ends.
  void Fail(Reason reason, Duration retry_after);
  void Cut(Reason reason);
  void End(std::string_view outcome, int status, std::string_view reason);
  Duration Elapsed() const;
  PlacementRequest DescribePlacement() const;

  Gateway* gateway_;
  GatewayContext& context_;
  ActiveConfigurationPtr configuration_;
  const RouteDefinition* route_;
  TeamId team_;
  int priority_;
  CallerRequest request_;
  std::shared_ptr<CallerChannel> channel_;
  TimePoint accepted_;
  TimePoint deadline_;
  PoolId pool_;

  StageProgress progress_;
  std::vector<std::unique_ptr<OpenStageTask>> stage_tasks_;
  // Asks for an engine only; kept until the engine answers.
  std::unique_ptr<OpenStageTask> placement_task_;
  FailureDomainId work_domain_;
  // A stage is done, so the request has been let into the stages.
  bool has_started_ = false;
  // The engine that the coordinator of the stages chose for the next attempt.
  EndpointId suggested_engine_;
  // The makers of the stages' results have been told to drop them.
  bool are_results_released_ = false;
  int lost_inputs_ = 0;

  AttemptHistory history_;
  EndpointPtr endpoint_;
  std::unique_ptr<OpenEndpointCall> call_;
  TimePoint attempt_started_;
  EndpointAnswerHead answer_;
  bool has_answer_head_ = false;
  std::string answer_body_;
  EventSplitter events_;
  bool is_head_sent_ = false;
  bool is_paused_ = false;
  // The coordinator has been asked for an engine and has not answered.
  bool is_awaiting_engine_ = false;
  TimePoint first_event_at_;
  std::unique_ptr<Timer> timeout_;
  std::unique_ptr<Timer> silence_timer_;
  bool is_ended_ = false;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REQUESTS_GATEWAY_REQUEST_H_
