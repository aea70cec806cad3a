#include "peridotmill_gateway/requests/gateway_request.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/placement/endpoint_placement.h"
#include "peridotmill_gateway/stages/batch_queue.h"

namespace peridotmill {
namespace {

constexpr int kServerError = 500;
constexpr int kConflict = 409;
// Answers of plain services up to this size are checked as a whole before they
// are passed on; larger ones are passed on as they arrive.
constexpr size_t kMaxBufferedAnswer = 65536;
// An event of a stream that is longer has no end.
constexpr size_t kMaxEventBytes = size_t{256} << 10;
// Bytes that may wait for a caller that reads slowly before the endpoint has to
// wait too.
constexpr size_t kMaxUnsentAnswer = 65536;
// Calls that must not run twice use connections that were idle for less than
// this: a server may close one at any time and leave open what it has run.
constexpr Duration kFreshConnection = std::chrono::milliseconds(300);
constexpr Duration kKeptConnection = std::chrono::seconds(10);
// Time reserved for the engine's first event after the stages: a long prompt of
// 17,000 tokens at 40 to 57 tokens a millisecond.
constexpr Duration kEngineStartTime = std::chrono::milliseconds(350);
// Time reserved for each further stage: a call with a batch that is half full.
constexpr Duration kFollowingStageTime = std::chrono::milliseconds(260);
// Callers give up after the longest of two seconds, four times the target and
// eight times the longest pause between events, as their platform describes.
constexpr Duration kLeastPatience = std::chrono::seconds(2);
constexpr int kTargetPatience = 4;
constexpr int kGapPatience = 8;
// A deadline that is shorter than the route's time limit by more than this
// shows that the caller has tried before.
constexpr Duration kReturnMargin = std::chrono::milliseconds(100);
// Callers honour a Retry-After of up to a third of the time they have left.
constexpr int kHonouredDivisor = 3;
constexpr Duration kShortestRetry = std::chrono::milliseconds(250);
// Callers that are refused together return over this much more of the time.
constexpr double kRetrySpread = 0.5;
// Rounds in which lost inputs are produced again.
constexpr int kMaxLostInputs = 2;
// The first event may take this many times the target before a stream that may
// be resumed goes to another engine.
constexpr int kSilentTargets = 2;
// A pause of this many times the longest one aimed at ends an attempt that may
// be resumed elsewhere.
constexpr int kSilentGaps = 3;
constexpr Duration kDefaultGap = std::chrono::milliseconds(400);
// An idempotent call is sent to a second endpoint after this share of the
// target latency: three times its mean work of 60 ms for a target of 300 ms.
constexpr double kSecondSendShare = 0.7;
// Endpoint without an answer to some call for this long is avoided.
constexpr Duration kPlainLongestWait = std::chrono::milliseconds(600);
constexpr Duration kEngineLongestWait = std::chrono::milliseconds(1500);
// A connection that is not established for this long gets no answer at all; an
// endpoint that is full or restarting refuses it sooner.
constexpr Duration kSilentConnect = std::chrono::milliseconds(400);
// Callers whose request found no free endpoint come back after about one call.
constexpr Duration kRetryAfter = std::chrono::milliseconds(300);

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
                               std::shared_ptr<CallerChannel> channel)
    : gateway_(gateway),
      context_(gateway->context_),
      configuration_(std::move(configuration)),
      route_(route),
      team_(std::move(team)),
      priority_(priority),
      request_(std::move(request)),
      channel_(std::move(channel)),
      accepted_(context_.clock.Now()) {
  const Duration time = request_.deadline
                            ? std::min(*request_.deadline, route_->timeout)
                            : route_->timeout;
  deadline_ = accepted_ + time;
}

GatewayRequest::~GatewayRequest() = default;

void GatewayRequest::Start() {
  channel_->set_on_caller_gone([this] { OnCallerGone(); });
  channel_->set_on_drained([this] { ResumeAnswer(); });
  if (deadline_ <= accepted_) {
    Fail(Reason::kDeadlineExpired, kRetryAfter);
    return;
  }
  timeout_ =
      context_.timers.After(deadline_ - accepted_, [this] { OnTimeout(); });
  pool_ = gateway_->ChoosePool(*route_);
  context_.repeats.AddFirst(pool_, accepted_);
  if (!HasStages()) {
    StartWithoutStages();
    return;
  }
  if (request_.stage_item_counts.size() != route_->stages.size()) {
    // The engine answers for the missing inputs.
    request_.stage_item_counts.assign(route_->stages.size(), 0);
  }
  progress_ = MakeStageProgress(request_.stage_item_counts);
  stage_tasks_.resize(route_->stages.size());
  if (AreAllDone(progress_)) {
    StartWithoutStages();
    return;
  }
  ChooseWorkDomain();
  SubmitReadyStages();
}

void GatewayRequest::StartWithoutStages() {
  if (!request_.generation || !IsStream()) {
    StartAttempt();
    return;
  }
  AskForEngine(EndpointId());
}

void GatewayRequest::AskForEngine(const EndpointId& failed_engine) {
  const PlacementRequest placement = DescribePlacement();
  StageTask task;
  task.request = request_.id;
  task.pool = HasStages() ? route_->stages.front().pool : pool_;
  task.group = configuration_->StagePoolGroup(task.pool);
  task.preferred_domain = placement.data_domain;
  task.moved_bytes = placement.data_bytes;
  task.due = accepted_ + route_->target_latency;
  task.deadline = deadline_;
  task.priority = priority_;
  task.prompt = DescribePrompt();
  task.failed_engine = failed_engine;
  placement_task_.reset();
  is_awaiting_engine_ = true;
  placement_task_ = context_.stage_worker.Submit(std::move(task), this);
}

PromptDemand GatewayRequest::DescribePrompt() const {
  return {.pool = pool_,
          .shared = SharedPrefixesOf(*request_.generation),
          .tokens = request_.generation->prompt_tokens};
}

Duration GatewayRequest::Patience() const {
  return std::max(
      {kLeastPatience, kTargetPatience * route_->target_latency,
       kGapPatience * route_->target_event_gap.value_or(Duration::zero())});
}

bool GatewayRequest::IsReturning() const {
  return request_.deadline.has_value() &&
         *request_.deadline + kReturnMargin < route_->timeout;
}

std::vector<PlannedWork> GatewayRequest::PlanStages() const {
  const size_t count = route_->stages.size();
  std::vector<int> depths(count);
  int longest = 0;
  for (size_t i = 0; i < count; ++i) {
    depths[i] = RemainingDepth(route_->stages, progress_, i);
    longest = std::max(longest, depths[i]);
  }
  std::vector<PlannedWork> plan;
  Duration end = Duration::zero();
  // Stages of the same depth run beside one another.
  for (int depth = longest; depth > 0; --depth) {
    Duration call_time = Duration::zero();
    const size_t first = plan.size();
    for (size_t i = 0; i < count; ++i) {
      const StageDefinition& stage = route_->stages[i];
      const PoolDefinition* const pool = configuration_->FindPool(stage.pool);
      if (depths[i] != depth || pool == nullptr || !pool->stage) {
        continue;
      }
      const int items = progress_.stages[i].item_count;
      plan.push_back({.pool = stage.pool,
                      .items = items,
                      .result_bytes = items * stage.result_bytes});
      call_time =
          std::max(call_time, CallTime(*pool->stage, pool->stage->batch_size));
    }
    end += call_time;
    for (size_t i = first; i < plan.size(); ++i) {
      plan[i].end = end;
    }
  }
  return plan;
}

PlacementRequest GatewayRequest::DescribePlacement() const {
  PlacementRequest placement;
  placement.tried = history_.tried();
  placement.data_domain = context_.failure_domain;
  if (HasStages() && AreAllDone(progress_)) {
    // The largest results count; the others are small beside them.
    for (size_t i = 0; i < route_->stages.size(); ++i) {
      const int64_t bytes =
          route_->stages[i].result_bytes * progress_.stages[i].item_count;
      if (IsFinalStage(route_->stages, i) && bytes > placement.data_bytes) {
        placement.data_bytes = bytes;
        placement.data_domain = progress_.stages[i].maker_domain;
      }
    }
  }
  if (!request_.generation || request_.generation->parts.empty()) {
    return placement;
  }
  const auto prefixes = SharedPrefixesOf(*request_.generation);
  for (const SharedPrefix& prefix : prefixes) {
    placement.shared_tokens += prefix.tokens;
  }
  placement.affinity = PrefixAffinity(prefixes);
  return placement;
}

void GatewayRequest::ChooseWorkDomain() {
  const EndpointPtr likely =
      ChooseEndpoint(context_.endpoints.Serving(pool_), DescribePlacement(),
                     kEngineLongestWait, accepted_, gateway_->random_);
  work_domain_ = likely == nullptr ? context_.failure_domain
                                   : likely->registration.failure_domain;
}

TimePoint GatewayRequest::LatestEnd(size_t stage, TimePoint limit) const {
  const int following = RemainingDepth(route_->stages, progress_, stage) - 1;
  return limit - kEngineStartTime - following * kFollowingStageTime;
}

StageTask GatewayRequest::DescribeStage(size_t stage) const {
  const StageDefinition& definition = route_->stages[stage];
  StageTask task;
  task.request = request_.id;
  task.pool = definition.pool;
  task.stage = stage;
  task.item_count = progress_.stages[stage].item_count;
  if (definition.after.empty()) {
    task.key = request_.stage_input_key;
  } else {
    task.inputs = InputsOf(route_->stages, progress_, stage);
  }
  task.due = LatestEnd(stage, accepted_ + route_->target_latency);
  task.deadline = LatestEnd(stage, std::min(deadline_, accepted_ + Patience()));
  task.priority = priority_;
  task.group = configuration_->StagePoolGroup(definition.pool);
  task.is_returning = IsReturning();
  if (!has_started_ && lost_inputs_ == 0) {
    task.plan = PlanStages();
    if (request_.generation) {
      task.prompt = DescribePrompt();
    }
  }
  task.result_bytes = definition.result_bytes;
  task.preferred_domain = work_domain_;
  task.moved_bytes = task.item_count * definition.result_bytes;
  for (const size_t input : definition.after) {
    // Each item fetches all inputs.
    const int64_t bytes = task.item_count * route_->stages[input].result_bytes *
                          progress_.stages[input].item_count;
    if (bytes > task.moved_bytes) {
      task.moved_bytes = bytes;
      task.preferred_domain = progress_.stages[input].maker_domain;
    }
  }
  return task;
}

void GatewayRequest::SubmitReadyStages() {
  for (const size_t stage : StagesToStart(route_->stages, progress_)) {
    progress_.stages[stage].state = StageProgress::State::kRunning;
    progress_.stages[stage].submitted = context_.clock.Now();
    stage_tasks_[stage] =
        context_.stage_worker.Submit(DescribeStage(stage), this);
  }
  if (AreAllDone(progress_)) {
    StartAttempt();
  }
}

void GatewayRequest::OnStageTaskEnd(size_t stage, StageTaskResult result) {
  if (std::exchange(is_awaiting_engine_, false)) {
    suggested_engine_ = std::move(result.engine);
    StartAttempt();
    return;
  }
  StageProgress::Stage& state = progress_.stages[stage];
  context_.events.Write(
      "stage_end",
      {{"request", request_.id.value()},
       {"stage", std::to_string(stage)},
       {"pool", route_->stages[stage].pool.value()},
       {"outcome", std::string(ToString(result.outcome))},
       {"domain", result.maker_domain.value()},
       {"ms", Milliseconds(context_.clock.Now() - state.submitted)}});
  if (result.outcome == StageItemOutcome::kRefused) {
    Fail(Reason::kQueueFull, BoundRetry(result.retry_after));
    return;
  }
  if (result.outcome == StageItemOutcome::kDone) {
    has_started_ = true;
    state.state = StageProgress::State::kDone;
    state.results = std::move(result.handles);
    state.maker_domain = std::move(result.maker_domain);
    suggested_engine_ = std::move(result.engine);
    for (const size_t spent : FindSpentStages(route_->stages, progress_)) {
      stage_tasks_[spent].reset();
    }
    SubmitReadyStages();
    return;
  }
  if (result.outcome == StageItemOutcome::kInputGone && RepeatStages()) {
    return;
  }
  Fail(result.outcome == StageItemOutcome::kLate ? Reason::kDeadlineUnreachable
                                                 : Reason::kStageFailed,
       kRetryAfter);
}

Duration GatewayRequest::BoundRetry(Duration drained) const {
  const Duration honoured =
      (deadline_ - context_.clock.Now()) / kHonouredDivisor;
  const double spread = 1 + kRetrySpread * gateway_->random_.Unit();
  return std::min(
      honoured,
      FromMilliseconds(ToMilliseconds(std::max(kShortestRetry, drained)) *
                       spread));
}

bool GatewayRequest::RepeatStages() {
  if (lost_inputs_ >= kMaxLostInputs ||
      !context_.repeats.TakeRepeats(route_->stages.front().pool, 1,
                                    context_.clock.Now())) {
    return false;
  }
  ++lost_inputs_;
  for (auto& task : stage_tasks_) {
    task.reset();
  }
  progress_ = MakeStageProgress(request_.stage_item_counts);
  stage_tasks_.resize(route_->stages.size());
  are_results_released_ = false;
  SubmitReadyStages();
  return true;
}

EndpointPtr GatewayRequest::TakeSuggestedEngine(TimePoint now) {
  const EndpointId id = std::exchange(suggested_engine_, EndpointId());
  for (const EndpointPtr& endpoint : context_.endpoints.Serving(pool_)) {
    const auto& tried = history_.tried();
    if (endpoint->registration.id == id &&
        std::find(tried.begin(), tried.end(), id) == tried.end() &&
        IsTrusted(*endpoint, now, kEngineLongestWait)) {
      return endpoint;
    }
  }
  return nullptr;
}

void GatewayRequest::StartAttempt() {
  if (are_results_released_) {
    if (!RepeatStages()) {
      Fail(Reason::kStageFailed, kRetryAfter);
    }
    return;
  }
  const TimePoint now = context_.clock.Now();
  endpoint_ = TakeSuggestedEngine(now);
  if (endpoint_ == nullptr) {
    endpoint_ =
        ChooseEndpoint(context_.endpoints.Serving(pool_), DescribePlacement(),
                       IsStream() ? kEngineLongestWait : kPlainLongestWait, now,
                       gateway_->random_);
  }
  if (endpoint_ == nullptr) {
    Fail(Reason::kNoEndpoint, kRetryAfter);
    return;
  }
  EndpointCall call;
  call.request = &request_;
  call.endpoint = endpoint_->registration;
  call.time_left = deadline_ - now;
  call.team = team_;
  if (HasStages()) {
    call.inputs = FinalResults(route_->stages, progress_);
  }
  call.resume_after_event = events_.last_event_id().empty()
                                ? request_.resume_after_event
                                : events_.last_event_id();
  call.max_connection_idle =
      route_->IsSafeToRetry() ? kKeptConnection : kFreshConnection;
  has_answer_head_ = false;
  answer_body_.clear();
  events_.DropRest();
  is_paused_ = false;
  attempt_started_ = now;
  BeginCall(*endpoint_, now);
  call_ = context_.endpoint_caller.Start(call, this);
  context_.events.Write(
      "attempt",
      {{"request", request_.id.value()},
       {"endpoint", endpoint_->registration.id.value()},
       {"load", std::to_string(EstimateLoad(*endpoint_, now))},
       {"report_age_ms", endpoint_->reported_at == TimePoint()
                             ? "none"
                             : Milliseconds(now - endpoint_->reported_at)},
       {"waited_ms", Milliseconds(now - accepted_)}});
  ArmSilenceTimer();
}

void GatewayRequest::ArmSilenceTimer() {
  silence_timer_.reset();
  if (!route_->IsSafeToRetry()) {
    return;
  }
  Duration limit = FromMilliseconds(ToMilliseconds(route_->target_latency) *
                                    kSecondSendShare);
  if (IsStream()) {
    limit = has_answer_head_
                ? kSilentGaps * route_->target_event_gap.value_or(kDefaultGap)
                : kSilentTargets * route_->target_latency;
  }
  silence_timer_ = context_.timers.After(limit, [this] { OnSilence(); });
}

void GatewayRequest::OnSilence() {
  silence_timer_.reset();
  if (call_ == nullptr) {
    return;
  }
  // Only an attempt that another endpoint can take over is given up.
  AttemptHistory next = history_;
  next.Add(endpoint_->registration.id, AttemptOutcome::kSentUnknown);
  PlacementRequest placement;
  placement.tried = next.tried();
  const TimePoint now = context_.clock.Now();
  if (!next.MayTryAgain(*route_) ||
      ChooseEndpoint(context_.endpoints.Serving(pool_), placement,
                     kPlainLongestWait, now, gateway_->random_) == nullptr ||
      !context_.repeats.TakeRepeats(pool_, 1, now)) {
    return;
  }
  ++gateway_->counters_.repeats;
  gateway_->reasons_.Add(Reason::kAttemptTimeout);
  EndAttempt(CallOutcome::kFailure, AttemptOutcome::kSentUnknown);
  StartAttempt();
}

void GatewayRequest::OnAnswerHead(const EndpointAnswerHead& head) {
  const TimePoint now = context_.clock.Now();
  RecordFirstResponseByte(*endpoint_, attempt_started_, now);
  answer_ = head;
  has_answer_head_ = true;
  if (head.load) {
    endpoint_->reported_running = head.load->running;
    endpoint_->reported_waiting = head.load->waiting;
    endpoint_->reported_at = now;
  }
  if (head.status < 300) {
    // The engine has fetched its inputs. A stream that is resumed has them
    // produced again, which is rarer than makers that are short of room.
    are_results_released_ = HasStages() && has_started_;
    stage_tasks_.clear();
    placement_task_.reset();
  }
  if (IsStream()) {
    ArmSilenceTimer();
  }
}

void GatewayRequest::OnAnswerBody(std::string_view bytes) {
  if (IsStream() && answer_.status == 200 && answer_.is_event_stream &&
      answer_.is_authentic) {
    ForwardStreamBytes(bytes);
    return;
  }
  if (is_head_sent_) {
    channel_->SendBody(bytes);
    PauseAnswerIfUnread();
    return;
  }
  answer_body_.append(bytes);
  if (answer_body_.size() <= kMaxBufferedAnswer) {
    return;
  }
  if (!answer_.is_authentic || answer_.is_stated_not_run) {
    // No answer of an endpoint; its bytes may come without end.
    HandleFailedAttempt(AttemptOutcome::kSentUnknown, Reason::kAnswerMismatch);
    return;
  }
  // Without a length the answer is complete only at an orderly close, and is
  // cut otherwise.
  SendAnswerHead(answer_.content_length);
  channel_->SendBody(std::exchange(answer_body_, std::string()));
  PauseAnswerIfUnread();
}

void GatewayRequest::PauseAnswerIfUnread() {
  if (!is_paused_ && call_ != nullptr &&
      channel_->unsent_bytes() > kMaxUnsentAnswer) {
    is_paused_ = true;
    call_->PauseReading();
    // The endpoint is not silent; it is not listened to.
    silence_timer_.reset();
  }
}

void GatewayRequest::ResumeAnswer() {
  if (std::exchange(is_paused_, false) && call_ != nullptr) {
    call_->ResumeReading();
    ArmSilenceTimer();
  }
}

void GatewayRequest::ForwardStreamBytes(std::string_view bytes) {
  const uint64_t events_before = events_.event_count();
  const std::string whole = events_.Add(bytes);
  if (events_.rest().size() > kMaxEventBytes) {
    HandleFailedAttempt(AttemptOutcome::kSentUnknown, Reason::kStreamBroken);
    return;
  }
  if (whole.empty()) {
    return;
  }
  if (!is_head_sent_) {
    first_event_at_ = context_.clock.Now();
    SendAnswerHead(std::nullopt);
  }
  channel_->SendBody(whole);
  // A stalled stream that sends comments now and then is still stalled.
  if (events_.event_count() > events_before) {
    ArmSilenceTimer();
  }
  PauseAnswerIfUnread();
}

void GatewayRequest::SendAnswerHead(std::optional<uint64_t> content_length) {
  HttpResponseHead head;
  head.status = answer_.status;
  head.reason = answer_.reason;
  head.headers = answer_.headers;
  head.content_length = content_length;
  is_head_sent_ = true;
  channel_->SendHead(head);
}

void GatewayRequest::OnAnswerEnd(HttpCallEnd end) {
  silence_timer_.reset();
  if (end == HttpCallEnd::kNotSent) {
    HandleFailedAttempt(AttemptOutcome::kNotSent, Reason::kConnectFailed);
    return;
  }
  if (end != HttpCallEnd::kComplete) {
    HandleFailedAttempt(
        AttemptOutcome::kSentUnknown,
        has_answer_head_ ? Reason::kStreamBroken : Reason::kEndpointFailed);
    return;
  }
  if (answer_.is_stated_not_run && answer_.status == kConflict && HasStages()) {
    // Results that the engine needs are gone.
    EndAttempt(CallOutcome::kRefused, AttemptOutcome::kRefused);
    if (!RepeatStages()) {
      Fail(Reason::kStageFailed, kRetryAfter);
    }
    return;
  }
  if (answer_.is_stated_not_run) {
    HandleFailedAttempt(AttemptOutcome::kRefused, Reason::kEndpointRefused);
    return;
  }
  if (answer_.status < 300 && !answer_.is_authentic) {
    HandleFailedAttempt(AttemptOutcome::kFailed, Reason::kAnswerMismatch);
    return;
  }
  if (answer_.status >= kServerError && !is_head_sent_) {
    AttemptHistory next = history_;
    next.Add(endpoint_->registration.id, AttemptOutcome::kFailed);
    if (next.MayTryAgain(*route_) &&
        context_.repeats.TakeRepeats(pool_, 1, context_.clock.Now())) {
      ++gateway_->counters_.repeats;
      gateway_->reasons_.Add(Reason::kEndpointFailed);
      EndAttempt(CallOutcome::kFailure, AttemptOutcome::kFailed);
      StartAttempt();
      return;
    }
  }
  ForwardWholeAnswer();
}

void GatewayRequest::ForwardWholeAnswer() {
  EndAttempt(answer_.status < kServerError ? CallOutcome::kSuccess
                                           : CallOutcome::kFailure,
             AttemptOutcome::kCompleted);
  if (!is_head_sent_) {
    SendAnswerHead(answer_body_.size());
    channel_->SendBody(answer_body_);
  } else if (!events_.rest().empty()) {
    channel_->SendBody(events_.rest());
  }
  channel_->Finish();
  ++gateway_->counters_.answered;
  End("answered", answer_.status, "");
}

void GatewayRequest::EndAttempt(CallOutcome verdict, AttemptOutcome outcome) {
  call_.reset();
  silence_timer_.reset();
  RemoveUnansweredCall(*endpoint_, attempt_started_);
  EndCall(*endpoint_, verdict, context_.clock.Now());
  history_.Add(endpoint_->registration.id, outcome);
}

bool GatewayRequest::TakeRepeat(AttemptOutcome outcome) {
  // Only a stream goes on where a part of the answer has been passed on.
  if (!history_.MayTryAgain(*route_) || (is_head_sent_ && !IsStream())) {
    return false;
  }
  if (outcome == AttemptOutcome::kNotSent) {
    return true;
  }
  if (!context_.repeats.TakeRepeats(pool_, 1, context_.clock.Now())) {
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
       {"status", std::to_string(has_answer_head_ ? answer_.status : 0)},
       {"ms", Milliseconds(context_.clock.Now() - attempt_started_)}});
  const bool is_silent =
      outcome == AttemptOutcome::kNotSent &&
      context_.clock.Now() - attempt_started_ >= kSilentConnect;
  EndAttempt(outcome == AttemptOutcome::kRefused ? CallOutcome::kRefused
             : is_silent                         ? CallOutcome::kUnresponsive
                                                 : CallOutcome::kFailure,
             outcome);
  if (TakeRepeat(outcome)) {
    if (outcome == AttemptOutcome::kNotSent && !is_head_sent_ && IsStream() &&
        request_.generation && !are_results_released_) {
      // The coordinator learns of the engine, and knows which one has read the
      // shared parts of the prompt.
      AskForEngine(endpoint_->registration.id);
      return;
    }
    if (is_head_sent_) {
      ++gateway_->counters_.resumed_streams;
    }
    StartAttempt();
    return;
  }
  Fail(reason, kRetryAfter);
}

void GatewayRequest::OnCallerGone() {
  ++gateway_->counters_.caller_gone;
  if (call_ != nullptr) {
    EndAttempt(CallOutcome::kCancelled, AttemptOutcome::kSentUnknown);
  }
  End("caller_gone", 0, ToString(Reason::kCallerGone));
}

void GatewayRequest::OnTimeout() {
  if (call_ != nullptr) {
    EndAttempt(CallOutcome::kFailure, AttemptOutcome::kSentUnknown);
  }
  Fail(Reason::kDeadlineExpired, kRetryAfter);
}

void GatewayRequest::Fail(Reason reason, Duration retry_after) {
  if (is_head_sent_) {
    // The answer has begun; it can only end as an incomplete one.
    Cut(reason);
    return;
  }
  const NodeAnswer answer = MakeFailure(history_, reason, retry_after);
  gateway_->reasons_.Add(reason);
  ++(answer.execution == Execution::kNotRun ? gateway_->counters_.refused
                                            : gateway_->counters_.failed);
  SendNodeAnswer(*channel_, answer);
  End(answer.execution == Execution::kNotRun ? "refused" : "failed",
      answer.status, ToString(reason));
}

void GatewayRequest::Cut(Reason reason) {
  ++gateway_->counters_.cut;
  gateway_->reasons_.Add(reason);
  channel_->Abort();
  End("cut", answer_.status, ToString(reason));
}

Duration GatewayRequest::Elapsed() const {
  return context_.clock.Now() - accepted_;
}

void GatewayRequest::End(std::string_view outcome,
                         int status,
                         std::string_view reason) {
  if (is_ended_) {
    return;
  }
  is_ended_ = true;
  timeout_.reset();
  silence_timer_.reset();
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
       {"attempts", std::to_string(history_.tried().size())},
       {"events", std::to_string(events_.event_count())},
       {"first_ms", Milliseconds(first - accepted_)},
       {"ms", Milliseconds(Elapsed())}});
  gateway_->Release(this);
}

}  // namespace peridotmill
