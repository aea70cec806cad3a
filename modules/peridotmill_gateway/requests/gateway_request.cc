#include "peridotmill_gateway/requests/gateway_request.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/estimates/completion_times.h"
#include "peridotmill_gateway/pace/load_report.h"
#include "peridotmill_gateway/placement/endpoint_placement.h"
#include "peridotmill_gateway/requests/stage_plan.h"

namespace peridotmill {
namespace {

constexpr int kServerError = 500;
constexpr int kConflict = 409;
// Non-stream responses up to this size are buffered and checked as a whole
// before they are forwarded; larger ones are forwarded as they arrive.
constexpr size_t kMaxBufferedResponseBytes = 65536;
// A longer stream event is treated as one that never ends, and so are more
// bytes of comments and empty lines between two events.
constexpr size_t kMaxEventBytes = size_t{256} << 10;
// Bytes that each response may buffer above
// GatewayContext::max_buffered_response_bytes, since many endpoints may send
// responses without end at the same time.
constexpr size_t kMinBufferedResponseBytes = size_t{16} << 10;
// Longest idle time of a connection that is reused for a call which must not
// run twice: a server may close an idle connection at any time, and then it is
// unknown whether the call has run.
constexpr Duration kMaxIdleForNonRetryableCalls =
    std::chrono::milliseconds(300);
constexpr Duration kMaxIdleForRetryableCalls = std::chrono::seconds(10);
// No connection has been idle for a negative time.
constexpr Duration kNoReuse = std::chrono::milliseconds(-1);
// Time reserved for each later stage in the chain: one call with a half-full
// batch.
constexpr Duration kReservedStageTime = std::chrono::milliseconds(260);
// The platform's callers give up after the longest of two seconds, four times
// the target latency and eight times the target gap between events.
constexpr Duration kMinCallerTimeout = std::chrono::seconds(2);
constexpr int kCallerTimeoutTargetMultiple = 4;
constexpr int kCallerTimeoutGapMultiple = 8;
// How often all stages of a request may be run again for lost results.
constexpr int kMaxStageReruns = 2;
// A resumable stream moves to another engine if its first event takes longer
// than this multiple of the target latency.
constexpr int kFirstEventTargetMultiple = 2;
// A resumable stream moves to another engine if no event comes for longer than
// this multiple of the target gap between events.
constexpr int kEventGapMultiple = 3;
constexpr Duration kDefaultEventGap = std::chrono::milliseconds(400);
// An idempotent call is sent to a second endpoint after this fraction of the
// target latency: for a target of 300 ms, three times the mean service time of
// 60 ms.
constexpr double kAttemptTimeoutTargetFraction = 0.7;
// An endpoint is avoided while one of its calls has had no response for longer
// than this. Engines have the longer limit.
constexpr Duration kMaxServiceResponseWait = std::chrono::milliseconds(600);
constexpr Duration kMaxEngineResponseWait = std::chrono::milliseconds(1500);
// If a connection is still not established after this time, the endpoint is
// taken as unreachable; one that is full or restarting refuses it sooner.
constexpr Duration kUnreachableConnectTime = std::chrono::milliseconds(400);
// A caller whose request found no free endpoint should retry after about the
// duration of one call.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(300);
// A caller that a stopping node refuses should try another node at once.
constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(50);
// A request whose endpoints all have limits waits this long for a permit, which
// another node grants within milliseconds if there is one.
constexpr Duration kMaxPermitWait = std::chrono::milliseconds(300);
constexpr Duration kPermitCheckInterval = std::chrono::milliseconds(20);
// A stopping node begins a request if this share of similar ones would finish
// in time. A cut request costs its caller more than a refused one, which
// another node serves: most if it may not be sent again, or if it came after
// the load balancer had removed the node.
constexpr double kCompletionQuantile = 0.9;
constexpr double kStrictCompletionQuantile = 0.99;

// Returns whether callers take a response with this status as a promise that
// their request has not run and never will.
bool IsNotRunStatus(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string Milliseconds(Duration duration) {
  return std::to_string(std::lround(ToMilliseconds(duration)));
}

}  // namespace

GatewayRequest::GatewayRequest(Gateway* gateway,
                               ActiveConfigurationPtr configuration,
                               const RouteDefinition* route,
                               TeamId team,
                               int priority,
                               CallerRequest request,
                               std::shared_ptr<ResponseWriter> channel)
    : gateway_(gateway),
      context_(gateway->context_),
      configuration_(std::move(configuration)),
      route_(route),
      team_(std::move(team)),
      priority_(priority),
      request_(std::move(request)),
      channel_(std::move(channel)),
      accepted_at_(context_.clock.Now()) {
  const Duration time_limit =
      request_.deadline ? std::min(*request_.deadline, route_->timeout)
                        : route_->timeout;
  deadline_ = accepted_at_ + time_limit;
  if (route_->is_resumable && request_.resume_after_event) {
    event_splitter_.set_last_event_id(*request_.resume_after_event);
  }
  if (context_.quarantine != nullptr) {
    fingerprint_ = ComputeFingerprint(team_, request_);
    if (request_.generation) {
      prompt_parts_ = HashSharedParts(*request_.generation);
      suspects_ = prompt_parts_;
    }
  }
}

GatewayRequest::~GatewayRequest() = default;

void GatewayRequest::CountBufferedBytes() {
  const size_t bytes =
      is_ended_
          ? 0
          : response_body_.size() + event_splitter_.incomplete_event().size();
  gateway_->buffered_response_bytes_ += bytes - counted_buffered_bytes_;
  counted_buffered_bytes_ = bytes;
}

size_t GatewayRequest::BufferLimit(size_t usual_limit) const {
  return gateway_->buffered_response_bytes_ >
                 context_.max_buffered_response_bytes
             ? kMinBufferedResponseBytes
             : usual_limit;
}

void GatewayRequest::Start() {
  channel_->set_on_caller_gone([this] { OnCallerDisconnected(); });
  channel_->set_on_drained([this] { ResumeResponse(); });
  if (deadline_ <= accepted_at_) {
    Fail(Reason::kDeadlineExpired, kDefaultRetryAfter);
    return;
  }
  pool_ = gateway_->ChoosePool(*route_);
  if (HasStages()) {
    if (request_.stage_item_counts.size() != route_->stages.size()) {
      // The stage counts are missing or wrong: no stage runs, and the engine
      // reports the missing inputs.
      request_.stage_item_counts.assign(route_->stages.size(), 0);
    }
    stage_progress_ = MakeStageProgress(request_.stage_item_counts);
    stage_tasks_.resize(route_->stages.size());
  }
  if (IsUnfinishable()) {
    Fail(Reason::kShuttingDown, kStoppingRetryAfter);
    return;
  }
  deadline_timer_ = context_.timers.After(deadline_ - accepted_at_,
                                          [this] { OnDeadlineExpired(); });
  if (gateway_->stop_) {
    LimitDeadline(gateway_->stop_->end);
  }
  Begin();
}

void GatewayRequest::Begin() {
  if (!MayPassQuarantine(&GatewayRequest::Begin) || !MayTakeUpStream()) {
    return;
  }
  context_.retry_budget.RecordFirstCall(pool_, accepted_at_);
  context_.endpoints.RecordDemand(pool_, accepted_at_);
  if (AreAllStagesDone(stage_progress_)) {
    StartWithoutStages();
    return;
  }
  if (PoolHoldOffEnd() >= deadline_) {
    // No engine accepts the request in time, so no stage runs for it.
    Fail(Reason::kNoEndpoint, EndpointRetryAfter());
    return;
  }
  ChooseStageDomain();
  SubmitReadyStages();
}

void GatewayRequest::LimitDeadline(TimePoint end) {
  if (end >= deadline_) {
    return;
  }
  deadline_ = end;
  is_deadline_end_of_stop_ = true;
  deadline_timer_ = context_.timers.After(deadline_ - context_.clock.Now(),
                                          [this] { OnDeadlineExpired(); });
}

Duration GatewayRequest::PredictRemainingTime() const {
  const double quantile = IsLateForStop() || !route_->IsSafeToRetry()
                              ? kStrictCompletionQuantile
                              : kCompletionQuantile;
  Duration remaining =
      PredictOutputTime(gateway_->completion_times_, *route_, quantile);
  if (IsStream()) {
    remaining +=
        PredictFirstEventTime(gateway_->first_event_times_, route_->name);
  }
  const int stages = LongestRemainingChain(route_->stages, stage_progress_);
  if (stages > 0) {
    const int all_stages = LongestRemainingChain(
        route_->stages, MakeStageProgress(request_.stage_item_counts));
    remaining +=
        PredictPreparationTime(gateway_->completion_times_, *route_, quantile) *
        stages / all_stages;
  }
  return remaining;
}

bool GatewayRequest::IsUnfinishable() const {
  if (!gateway_->stop_) {
    return false;
  }
  const TimePoint end = gateway_->stop_->end;
  const bool expires_before_end = !is_deadline_end_of_stop_ && deadline_ <= end;
  if (expires_before_end) {
    return false;
  }
  // Nothing bounds how long a stream lasts: its engine may turn slow.
  return (IsStream() && IsLateForStop()) ||
         context_.clock.Now() + PredictRemainingTime() > end;
}

bool GatewayRequest::IsLateForStop() const {
  return gateway_->stop_ && accepted_at_ >= gateway_->stop_->removed;
}

void GatewayRequest::RefuseIfUnfinishable() {
  if (call_ == nullptr && !is_response_head_sent_ &&
      attempt_history_.IsKnownNotRunYet() && IsUnfinishable()) {
    Fail(Reason::kShuttingDown, kStoppingRetryAfter);
  }
}

void GatewayRequest::StartWithoutStages() {
  if (!request_.generation || !IsStream() || PoolHoldOffEnd()) {
    StartAttempt();
    return;
  }
  RequestEngine(EndpointId());
}

void GatewayRequest::RequestEngine(const EndpointId& failed_engine) {
  const PlacementRequest placement = MakePlacementRequest();
  StageTask task;
  task.request = request_.id;
  task.pool = HasStages() ? route_->stages.front().pool : pool_;
  task.group = configuration_->StagePoolGroup(task.pool);
  task.preferred_domain = placement.data_domain;
  task.moved_bytes = placement.data_bytes;
  task.due = accepted_at_ + route_->target_latency;
  task.deadline = deadline_;
  task.priority = priority_;
  task.prompt = MakePromptDemand();
  task.failed_engine = failed_engine;
  placement_task_.reset();
  is_awaiting_engine_ = true;
  placement_task_ = context_.stage_worker.Submit(std::move(task), this);
}

PromptDemand GatewayRequest::MakePromptDemand() {
  return {.pool = pool_,
          .shared = ComputeSharedPrefixes(*request_.generation),
          .tokens = request_.generation->prompt_tokens,
          .suspects = Suspects(),
          .due = accepted_at_ + route_->target_latency};
}

Duration GatewayRequest::CallerTimeout() const {
  return std::max({kMinCallerTimeout,
                   kCallerTimeoutTargetMultiple * route_->target_latency,
                   kCallerTimeoutGapMultiple *
                       route_->target_event_gap.value_or(Duration::zero())});
}

PlacementRequest GatewayRequest::MakePlacementRequest() const {
  PlacementRequest placement;
  placement.tried = attempt_history_.tried();
  placement.data_domain = context_.failure_domain;
  if (HasStages() && AreAllStagesDone(stage_progress_)) {
    // Only the stage with the largest results decides the domain; the results
    // of the other stages are small in comparison.
    for (size_t i = 0; i < route_->stages.size(); ++i) {
      const int64_t bytes =
          route_->stages[i].result_bytes * stage_progress_.stages[i].item_count;
      if (IsFinalStage(route_->stages, i) && bytes > placement.data_bytes) {
        placement.data_bytes = bytes;
        placement.data_domain = stage_progress_.stages[i].maker_domain;
      }
    }
  }
  if (!request_.generation || request_.generation->parts.empty()) {
    return placement;
  }
  const auto prefixes = ComputeSharedPrefixes(*request_.generation);
  for (const SharedPrefix& prefix : prefixes) {
    placement.shared_tokens += prefix.tokens;
  }
  placement.affinity = PrefixAffinity(prefixes);
  return placement;
}

void GatewayRequest::ChooseStageDomain() {
  const EndpointPtr likely_engine =
      ChooseEndpoint(Candidates(), MakePlacementRequest(),
                     kMaxEngineResponseWait, accepted_at_, gateway_->random_);
  preferred_stage_domain_ = likely_engine == nullptr
                                ? context_.failure_domain
                                : likely_engine->registration.failure_domain;
}

TimePoint GatewayRequest::LatestStageEnd(size_t stage, TimePoint limit) const {
  const int later_stages =
      RemainingChainLength(route_->stages, stage_progress_, stage) - 1;
  return limit -
         PredictFirstEventTime(gateway_->first_event_times_, route_->name) -
         later_stages * kReservedStageTime;
}

StageTask GatewayRequest::MakeStageTask(size_t stage) {
  const StageDefinition& definition = route_->stages[stage];
  StageTask task;
  task.request = request_.id;
  task.pool = definition.pool;
  task.stage = stage;
  task.item_count = stage_progress_.stages[stage].item_count;
  if (definition.after.empty()) {
    task.key = request_.stage_input_key;
  } else {
    task.inputs = StageInputs(route_->stages, stage_progress_, stage);
  }
  task.due = LatestStageEnd(stage, accepted_at_ + route_->target_latency);
  const TimePoint waits_since =
      IsStreamStarted() ? last_event_at_ : accepted_at_;
  task.deadline =
      LatestStageEnd(stage, std::min(deadline_, waits_since + CallerTimeout()));
  task.priority = priority_;
  task.group = configuration_->StagePoolGroup(definition.pool);
  if (!is_admitted_ && stage_rerun_count_ == 0) {
    task.plan = PlanStages(*route_, stage_progress_, *configuration_);
    if (request_.generation) {
      task.prompt = MakePromptDemand();
    }
  }
  task.result_bytes = definition.result_bytes;
  task.preferred_domain = preferred_stage_domain_;
  task.moved_bytes = task.item_count * definition.result_bytes;
  for (const size_t input : definition.after) {
    // Each item fetches all results of the input stages.
    const int64_t bytes = task.item_count * route_->stages[input].result_bytes *
                          stage_progress_.stages[input].item_count;
    if (bytes > task.moved_bytes) {
      task.moved_bytes = bytes;
      task.preferred_domain = stage_progress_.stages[input].maker_domain;
    }
  }
  return task;
}

void GatewayRequest::SubmitReadyStages() {
  for (const size_t stage : StagesToStart(route_->stages, stage_progress_)) {
    stage_progress_.stages[stage].state = StageProgress::State::kRunning;
    stage_progress_.stages[stage].submitted_at = context_.clock.Now();
    stage_tasks_[stage] =
        context_.stage_worker.Submit(MakeStageTask(stage), this);
  }
  if (AreAllStagesDone(stage_progress_)) {
    if (stage_rerun_count_ == 0) {
      RecordPreparationTime(gateway_->completion_times_, *route_,
                            TimeSinceAcceptance());
    }
    if (is_preparing_takeover_) {
      TakeOver();
    } else {
      StartAttempt();
    }
  }
}

void GatewayRequest::OnStageTaskEnd(size_t stage, StageTaskResult result) {
  const bool ends_takeover = is_preparing_takeover_ && call_ != nullptr &&
                             result.outcome != StageItemOutcome::kDone;
  if (result.outcome == StageItemOutcome::kQuarantined && !ends_takeover) {
    Fail(Reason::kRequestQuarantined, result.retry_after);
    return;
  }
  if (std::exchange(is_awaiting_engine_, false)) {
    suggested_engine_ = std::move(result.engine);
    StartAttempt();
    return;
  }
  StageProgress::Stage& state = stage_progress_.stages[stage];
  context_.events.Write(
      "stage_end",
      {{"request", request_.id.value()},
       {"stage", std::to_string(stage)},
       {"pool", route_->stages[stage].pool.value()},
       {"outcome", std::string(ToString(result.outcome))},
       {"domain", result.maker_domain.value()},
       {"ms", Milliseconds(context_.clock.Now() - state.submitted_at)}});
  if (ends_takeover) {
    CancelTakeover(ToString(result.outcome));
    return;
  }
  if (result.outcome == StageItemOutcome::kRefused) {
    Fail(Reason::kQueueFull,
         BoundRetryAfter(result.retry_after, deadline_ - context_.clock.Now(),
                         gateway_->random_));
    return;
  }
  if (result.outcome == StageItemOutcome::kDone) {
    is_admitted_ = true;
    state.state = StageProgress::State::kDone;
    state.results = std::move(result.handles);
    state.maker_domain = std::move(result.maker_domain);
    suggested_engine_ = std::move(result.engine);
    for (const size_t releasable :
         FindReleasableStages(route_->stages, stage_progress_)) {
      stage_tasks_[releasable].reset();
    }
    SubmitReadyStages();
    return;
  }
  if (result.outcome == StageItemOutcome::kInputGone && RerunStages()) {
    return;
  }
  Fail(result.outcome == StageItemOutcome::kLate ? Reason::kDeadlineUnreachable
                                                 : Reason::kStageFailed,
       kDefaultRetryAfter);
}

bool GatewayRequest::RerunStages() {
  if (!TryTakeStageRerun()) {
    return false;
  }
  BeginStageRerun();
  return true;
}

bool GatewayRequest::TryTakeStageRerun() {
  return stage_rerun_count_ < kMaxStageReruns &&
         context_.retry_budget.TryTakeRetries(route_->stages.front().pool, 1,
                                              context_.clock.Now());
}

void GatewayRequest::BeginStageRerun() {
  ++stage_rerun_count_;
  for (auto& task : stage_tasks_) {
    task.reset();
  }
  stage_progress_ = MakeStageProgress(request_.stage_item_counts);
  stage_tasks_.resize(route_->stages.size());
  are_results_released_ = false;
  SubmitReadyStages();
}

EndpointPtr GatewayRequest::TakeSuggestedEngine(TimePoint now) {
  const EndpointId id = std::exchange(suggested_engine_, EndpointId());
  for (const EndpointPtr& endpoint : Candidates()) {
    const auto& tried = attempt_history_.tried();
    if (endpoint->registration.id == id &&
        std::find(tried.begin(), tried.end(), id) == tried.end() &&
        IsEndpointUsable(*endpoint, now, kMaxEngineResponseWait)) {
      return endpoint;
    }
  }
  return nullptr;
}

void GatewayRequest::StartAttempt() {
  permit_timer_.reset();
  if (!MayPassQuarantine(&GatewayRequest::StartAttempt)) {
    return;
  }
  if (are_results_released_) {
    if (!RerunStages()) {
      Fail(Reason::kStageFailed, kDefaultRetryAfter);
    }
    return;
  }
  if (!is_response_head_sent_ && attempt_history_.IsKnownNotRunYet() &&
      IsUnfinishable()) {
    Fail(Reason::kShuttingDown, kStoppingRetryAfter);
    return;
  }
  const TimePoint now = context_.clock.Now();
  endpoint_ = TakeSuggestedEngine(now);
  if (endpoint_ == nullptr) {
    endpoint_ = ChooseEndpoint(
        Candidates(), MakePlacementRequest(),
        IsStream() ? kMaxEngineResponseWait : kMaxServiceResponseWait, now,
        gateway_->random_);
  }
  if (endpoint_ == nullptr) {
    if (!WaitForPermit() && !WaitToResume()) {
      Fail(Reason::kNoEndpoint, EndpointRetryAfter());
    }
    return;
  }
  EndpointCall call;
  call.request = &request_;
  call.endpoint = endpoint_->registration;
  call.time_left = deadline_ - now;
  call.team = team_;
  if (HasStages()) {
    call.inputs = FinalResults(route_->stages, stage_progress_);
  }
  call.resume_after_event = event_splitter_.last_event_id().empty()
                                ? request_.resume_after_event
                                : event_splitter_.last_event_id();
  call.max_connection_idle = route_->IsSafeToRetry()
                                 ? kMaxIdleForRetryableCalls
                                 : kMaxIdleForNonRetryableCalls;
  // The id of the request does not tell a late copy of the refusal of an
  // earlier attempt from the response to this one.
  if (!called_addresses_.insert(call.endpoint.address).second) {
    call.max_connection_idle = kNoReuse;
  }
  has_response_head_ = false;
  response_body_.clear();
  event_splitter_.DropIncompleteEvent();
  CountBufferedBytes();
  resumed_after_events_.reset();
  if (IsStreamStarted()) {
    resumed_after_events_ = event_splitter_.event_count();
  }
  is_paused_ = false;
  attempt_started_at_ = now;
  attempt_version_ = endpoint_->registration.software_version;
  events_before_attempt_ = event_splitter_.event_count();
  if (context_.endpoints.HasWarmingEndpoints(pool_, now) &&
      !IsWarmingUp(endpoint_->warm_up, now)) {
    ++gateway_->counters_.passed_warming;
  }
  BeginCall(*endpoint_, now);
  call_ = context_.endpoint_caller.Start(call, this);
  context_.events.Write(
      "attempt",
      {{"request", request_.id.value()},
       {"endpoint", endpoint_->registration.id.value()},
       {"version", endpoint_->registration.software_version},
       {"resumes", request_.resumed_request.value()},
       {"after_event", call.resume_after_event.value_or("")},
       {"load", std::to_string(EstimateLoad(*endpoint_, now))},
       {"report_age_ms", endpoint_->reported_at == TimePoint()
                             ? "none"
                             : Milliseconds(now - endpoint_->reported_at)},
       {"waited_ms", Milliseconds(now - accepted_at_)}});
  RestartProgressTimer();
}

bool GatewayRequest::WaitForPermit() {
  const TimePoint now = context_.clock.Now();
  context_.endpoints.RecordDemand(pool_, now);
  if (!AwaitsPermit(Candidates(), now)) {
    return false;
  }
  if (!permit_wait_end_) {
    permit_wait_end_ = std::min(deadline_, now + kMaxPermitWait);
  }
  if (PoolHoldOffEnd() > permit_wait_end_) {
    return false;
  }
  permit_timer_ =
      context_.timers.After(kPermitCheckInterval, [this] { StartAttempt(); });
  return true;
}

void GatewayRequest::RestartProgressTimer() {
  progress_timer_.reset();
  if (!route_->IsSafeToRetry()) {
    return;
  }
  Duration limit = FromMilliseconds(ToMilliseconds(route_->target_latency) *
                                    kAttemptTimeoutTargetFraction);
  if (IsStream()) {
    limit = has_response_head_
                ? kEventGapMultiple *
                      route_->target_event_gap.value_or(kDefaultEventGap)
                : kFirstEventTargetMultiple * route_->target_latency;
  }
  progress_timer_ =
      context_.timers.After(limit, [this] { OnProgressTimeout(); });
}

bool GatewayRequest::CanTakeOver(const AttemptHistory& history) const {
  PlacementRequest placement;
  placement.tried = history.tried();
  return ChooseEndpoint(Candidates(), placement, kMaxServiceResponseWait,
                        context_.clock.Now(), gateway_->random_) != nullptr;
}

void GatewayRequest::OnResponseHead(const EndpointResponseHead& head) {
  const TimePoint now = context_.clock.Now();
  RecordFirstResponseByte(*endpoint_, attempt_started_at_, now);
  RecordEndpointNotice(context_.endpoints, context_.events,
                       IncarnationOf(endpoint_->registration), head.notice,
                       now);
  response_head_ = head;
  has_response_head_ = true;
  if (head.load) {
    RecordReportedLoad(*endpoint_, *head.load, now);
  }
  if (head.status < 300) {
    // The engine has fetched its inputs, so the stage results are released. A
    // stream that is resumed later runs its stages again. That is rarer than
    // stage endpoints which run out of memory for results.
    are_results_released_ = HasStages() && is_admitted_;
    stage_tasks_.clear();
    placement_task_.reset();
  }
  if (IsStream()) {
    RestartProgressTimer();
  }
}

bool GatewayRequest::IsAuthenticStreamResponse() const {
  return IsStream() && response_head_.status == 200 &&
         response_head_.is_event_stream && response_head_.is_authentic;
}

void GatewayRequest::OnResponseBody(std::string_view bytes) {
  if (IsAuthenticStreamResponse()) {
    ForwardStreamBytes(bytes);
    return;
  }
  if (IsStreamStarted()) {
    // An error response of the engine that was to resume the stream: its bytes
    // are no part of the stream.
    return;
  }
  if (is_response_head_sent_) {
    channel_->SendBody(bytes);
    PauseResponseIfCallerIsSlow();
    return;
  }
  response_body_.append(bytes);
  CountBufferedBytes();
  if (response_body_.size() <= BufferLimit(kMaxBufferedResponseBytes)) {
    return;
  }
  if (!response_head_.is_authentic || response_head_.is_stated_not_run ||
      IsNotRunStatus(response_head_.status)) {
    // This is not an endpoint's authentic response, and it may never end.
    HandleFailedAttempt(AttemptOutcome::kOutcomeUnknown,
                        Reason::kAnswerMismatch);
    return;
  }
  // Without a content length the response is complete only if the endpoint
  // closes the connection in order; otherwise the response to the caller is
  // aborted.
  SendResponseHead(response_head_.content_length);
  channel_->SendBody(std::exchange(response_body_, std::string()));
  CountBufferedBytes();
  PauseResponseIfCallerIsSlow();
}

void GatewayRequest::PauseResponseIfCallerIsSlow() {
  if (!is_paused_ && call_ != nullptr &&
      channel_->unsent_bytes() > channel_->unsent_limit()) {
    is_paused_ = true;
    call_->PauseReading();
    // The endpoint makes no progress because the gateway does not read from it.
    progress_timer_.reset();
  }
}

void GatewayRequest::ResumeResponse() {
  if (std::exchange(is_paused_, false) && call_ != nullptr) {
    call_->ResumeReading();
    RestartProgressTimer();
  }
}

void GatewayRequest::ForwardStreamBytes(std::string_view bytes) {
  const uint64_t events_before = event_splitter_.event_count();
  const std::string complete_events = event_splitter_.Add(bytes);
  RecordProgress(events_before);
  CountBufferedBytes();
  if (event_splitter_.bytes_since_event() > BufferLimit(kMaxEventBytes)) {
    HandleFailedAttempt(AttemptOutcome::kOutcomeUnknown, Reason::kStreamBroken);
    return;
  }
  if (!complete_events.empty()) {
    ForwardEvents(complete_events, events_before);
  }
  if (event_splitter_.is_next_event_invalid()) {
    HandleFailedAttempt(AttemptOutcome::kOutcomeUnknown, Reason::kStreamBroken);
  }
}

void GatewayRequest::ForwardEvents(std::string_view complete_events,
                                   uint64_t events_before) {
  if (!is_response_head_sent_) {
    first_event_at_ = context_.clock.Now();
    BindStreamVersion();
    RecordFirstEventTime(gateway_->first_event_times_, route_->name,
                         first_event_at_ - attempt_started_at_);
    SendResponseHead(std::nullopt);
  }
  channel_->SendBody(complete_events);
  // Comments do not count as progress: a stalled stream may still send them.
  if (event_splitter_.event_count() > events_before) {
    last_event_at_ = context_.clock.Now();
    abandoned_engine_ = EndpointId();
    if (is_preparing_takeover_) {
      CancelTakeover("engine_resumed");
    }
    RestartProgressTimer();
  }
  PauseResponseIfCallerIsSlow();
}

void GatewayRequest::SendResponseHead(std::optional<uint64_t> content_length) {
  HttpResponseHead head;
  head.status = response_head_.status;
  head.reason = response_head_.reason;
  head.headers = response_head_.headers;
  head.content_length = content_length;
  is_response_head_sent_ = true;
  channel_->SendHead(head);
}

void GatewayRequest::OnResponseEnd(HttpCallEnd end) {
  progress_timer_.reset();
  RecordAttemptEnd(end);
  if (end == HttpCallEnd::kNotSent) {
    HandleFailedAttempt(AttemptOutcome::kNotSent, Reason::kConnectFailed);
    return;
  }
  if (end != HttpCallEnd::kComplete) {
    HandleFailedAttempt(
        AttemptOutcome::kOutcomeUnknown,
        has_response_head_ ? Reason::kStreamBroken : Reason::kEndpointFailed);
    return;
  }
  if (response_head_.is_stated_not_run && response_head_.status == kConflict &&
      HasStages()) {
    // The engine responds with 409 if stage results that it needs no longer
    // exist.
    EndAttempt(CallOutcome::kRefused, AttemptOutcome::kRefused);
    if (!RerunStages()) {
      Fail(Reason::kStageFailed, kDefaultRetryAfter);
    }
    return;
  }
  if (response_head_.is_stated_not_run) {
    HandleFailedAttempt(AttemptOutcome::kRefused, Reason::kEndpointRefused);
    return;
  }
  if (IsNotRunStatus(response_head_.status)) {
    // The endpoint does not state that it has not run the request, so its
    // status would promise the caller too much.
    HandleFailedAttempt(AttemptOutcome::kOutcomeUnknown,
                        Reason::kAnswerMismatch);
    return;
  }
  if (response_head_.status < 300 && !response_head_.is_authentic) {
    HandleFailedAttempt(AttemptOutcome::kFailed, Reason::kAnswerMismatch);
    return;
  }
  if (IsStreamStarted() && !IsAuthenticStreamResponse()) {
    // Finishing here would make the caller take the events so far for the whole
    // stream.
    HandleFailedAttempt(AttemptOutcome::kFailed, Reason::kEndpointFailed);
    return;
  }
  if (IsAuthenticStreamResponse() && !MayBeWhole(EndOfStream())) {
    HandleFailedAttempt(AttemptOutcome::kOutcomeUnknown, Reason::kStreamBroken);
    return;
  }
  if (response_head_.status >= kServerError && !is_response_head_sent_) {
    AttemptHistory next = attempt_history_;
    next.Add(endpoint_->registration.id, AttemptOutcome::kFailed);
    if (next.MayRetry(*route_) && HasUntriedEndpoint(next) &&
        context_.retry_budget.TryTakeRetries(pool_, 1, context_.clock.Now())) {
      ++gateway_->counters_.repeats;
      gateway_->reasons_.Add(Reason::kEndpointFailed);
      EndAttempt(CallOutcome::kFailure, AttemptOutcome::kFailed);
      StartAttempt();
      return;
    }
  }
  ForwardCompleteResponse();
}

void GatewayRequest::ForwardCompleteResponse() {
  EndAttempt(response_head_.status < kServerError ? CallOutcome::kSuccess
                                                  : CallOutcome::kFailure,
             AttemptOutcome::kCompleted);
  // After the last event of a stream, only comments may be left.
  const std::string& rest = IsAuthenticStreamResponse()
                                ? event_splitter_.incomplete_event()
                                : response_body_;
  if (!is_response_head_sent_) {
    SendResponseHead(request_.message.method == "HEAD"
                         ? response_head_.content_length
                         : rest.size());
  }
  channel_->SendBody(rest);
  channel_->Finish();
  if (response_head_.status < 300) {
    RecordOutputTime(
        gateway_->completion_times_, *route_,
        context_.clock.Now() -
            (IsStreamStarted() ? first_event_at_ : attempt_started_at_));
  }
  ++gateway_->counters_.answered;
  End("answered", response_head_.status, "");
}

void GatewayRequest::EndAttempt(CallOutcome verdict, AttemptOutcome outcome) {
  call_.reset();
  progress_timer_.reset();
  RemoveUnansweredCall(*endpoint_, attempt_started_at_);
  EndCall(*endpoint_, verdict, context_.clock.Now());
  attempt_history_.Add(endpoint_->registration.id, outcome);
}

bool GatewayRequest::HasUntriedEndpoint(const AttemptHistory& history) const {
  const auto& serving = Candidates();
  const TimePoint now = context_.clock.Now();
  return std::any_of(
      serving.begin(), serving.end(), [&](const EndpointPtr& endpoint) {
        const auto& tried = history.tried();
        return !IsHeldOff(*endpoint, now) &&
               std::find(tried.begin(), tried.end(),
                         endpoint->registration.id) == tried.end();
      });
}

bool GatewayRequest::TryTakeRetry(AttemptOutcome outcome) {
  // After a part of the response has been sent, only a stream can be continued
  // by another endpoint.
  if (!attempt_history_.MayRetry(*route_) || IsPlainResponseStarted() ||
      !HasUntriedEndpoint(attempt_history_)) {
    return false;
  }
  if (outcome == AttemptOutcome::kNotSent) {
    return true;
  }
  if (is_crash_suspect_ && context_.quarantine->IsRepeatedSuspect(Suspects())) {
    gateway_->reasons_.Add(Reason::kRequestSuspected);
    return false;
  }
  if (!context_.retry_budget.TryTakeRetries(pool_, 1, context_.clock.Now())) {
    gateway_->reasons_.Add(Reason::kRetryBudgetExhausted);
    return false;
  }
  ++gateway_->counters_.repeats;
  return true;
}

void GatewayRequest::HandleFailedAttempt(AttemptOutcome outcome,
                                         Reason reason) {
  gateway_->reasons_.Add(reason);
  context_.events.Write(
      "attempt_failed",
      {{"request", request_.id.value()},
       {"endpoint", endpoint_->registration.id.value()},
       {"reason", std::string(ToString(reason))},
       {"status",
        std::to_string(has_response_head_ ? response_head_.status : 0)},
       {"ms", Milliseconds(context_.clock.Now() - attempt_started_at_)}});
  const bool is_unreachable =
      outcome == AttemptOutcome::kNotSent &&
      context_.clock.Now() - attempt_started_at_ >= kUnreachableConnectTime;
  EndAttempt(outcome == AttemptOutcome::kRefused ? CallOutcome::kRefused
             : is_unreachable                    ? CallOutcome::kUnresponsive
                                                 : CallOutcome::kFailure,
             outcome);
  if (is_preparing_takeover_) {
    // The stages already run for another engine.
    return;
  }
  if (TryTakeRetry(outcome)) {
    if (outcome == AttemptOutcome::kNotSent && !is_response_head_sent_ &&
        IsStream() && request_.generation && !are_results_released_) {
      // The request to the coordinator reports the failed engine. The response
      // names another one, since the coordinator knows which engines have the
      // shared prefix of the prompt in their cache.
      RequestEngine(endpoint_->registration.id);
      return;
    }
    if (is_response_head_sent_) {
      ++gateway_->counters_.resumed_streams;
    }
    StartAttempt();
    return;
  }
  if (WaitToResume()) {
    return;
  }
  Fail(reason, EndpointRetryAfter());
}

std::optional<TimePoint> GatewayRequest::PoolHoldOffEnd() const {
  return FindHoldOffEnd(Candidates(), context_.clock.Now());
}

Duration GatewayRequest::EndpointRetryAfter() {
  const auto hold_off_end = PoolHoldOffEnd();
  if (!hold_off_end) {
    return kDefaultRetryAfter;
  }
  // The random part keeps refused callers from returning all at once.
  return *hold_off_end - context_.clock.Now() +
         FromMilliseconds(ToMilliseconds(kDefaultRetryAfter) *
                          gateway_->random_.Unit());
}

void GatewayRequest::OnCallerDisconnected() {
  ++gateway_->counters_.caller_gone;
  if (call_ != nullptr) {
    EndAttempt(CallOutcome::kCancelled, AttemptOutcome::kOutcomeUnknown);
  }
  End("caller_gone", 0, ToString(Reason::kCallerGone));
}

void GatewayRequest::OnDeadlineExpired() {
  if (call_ != nullptr) {
    EndAttempt(CallOutcome::kFailure, AttemptOutcome::kOutcomeUnknown);
  }
  if (is_deadline_end_of_stop_) {
    Fail(Reason::kShuttingDown, kStoppingRetryAfter);
    return;
  }
  Fail(Reason::kDeadlineExpired, kDefaultRetryAfter);
}

void GatewayRequest::Fail(Reason reason, Duration retry_after) {
  if (is_response_head_sent_) {
    // The head has been sent, so the response can only be aborted.
    AbortResponse(reason);
    return;
  }
  const NodeResponse response =
      MakeFailure(attempt_history_, reason, retry_after);
  gateway_->reasons_.Add(reason);
  ++(response.execution == Execution::kNotRun ? gateway_->counters_.refused
                                              : gateway_->counters_.failed);
  SendNodeResponse(*channel_, response);
  End(response.execution == Execution::kNotRun ? "refused" : "failed",
      response.status, ToString(reason));
}

void GatewayRequest::AbortResponse(Reason reason) {
  ++gateway_->counters_.cut;
  gateway_->reasons_.Add(reason);
  channel_->Abort();
  End("cut", response_head_.status, ToString(reason));
}

void GatewayRequest::LogUnfinished() const {
  std::string waits_for;
  if (call_ != nullptr) {
    waits_for = "endpoint " + endpoint_->registration.id.value();
  } else if (permit_timer_ != nullptr) {
    waits_for = "permit";
  } else if (resume_timer_ != nullptr) {
    waits_for = "another engine";
  } else if (quarantine_timer_ != nullptr) {
    waits_for = "probe";
  } else if (version_timer_ != nullptr) {
    waits_for = "stream version";
  } else if (is_awaiting_engine_) {
    waits_for = "engine choice";
  } else {
    for (size_t i = 0; i < stage_progress_.stages.size(); ++i) {
      if (stage_progress_.stages[i].state == StageProgress::State::kRunning) {
        waits_for += (waits_for.empty() ? "stage " : ",") + std::to_string(i);
      }
    }
  }
  context_.events.Write(
      "request_unfinished",
      {{"request", request_.id.value()},
       {"route", route_->name},
       {"waits_for", waits_for},
       {"events", std::to_string(event_splitter_.event_count())},
       {"ms", Milliseconds(TimeSinceAcceptance())}});
}

Duration GatewayRequest::TimeSinceAcceptance() const {
  return context_.clock.Now() - accepted_at_;
}

void GatewayRequest::End(std::string_view outcome,
                         int status,
                         std::string_view reason) {
  if (is_ended_) {
    return;
  }
  is_ended_ = true;
  if (context_.quarantine != nullptr && call_ == nullptr &&
      attempt_history_.IsKnownNotRunYet()) {
    context_.quarantine->ReturnProbes(request_.id);
  }
  CountBufferedBytes();
  deadline_timer_.reset();
  progress_timer_.reset();
  permit_timer_.reset();
  resume_timer_.reset();
  quarantine_timer_.reset();
  version_timer_.reset();
  call_.reset();
  stage_tasks_.clear();
  placement_task_.reset();
  const TimePoint first =
      first_event_at_ == TimePoint() ? context_.clock.Now() : first_event_at_;
  context_.events.Write(
      "request_end",
      {{"request", request_.id.value()},
       {"route", route_->name},
       {"outcome", std::string(outcome)},
       {"status", std::to_string(status)},
       {"reason", std::string(reason)},
       {"revision", std::to_string(configuration_->config().revision.value())},
       {"attempts", std::to_string(attempt_history_.attempts())},
       {"events", std::to_string(event_splitter_.event_count())},
       {"first_ms", Milliseconds(first - accepted_at_)},
       {"ms", Milliseconds(TimeSinceAcceptance())}});
  gateway_->RemoveRequest(this);
}

}  // namespace peridotmill
