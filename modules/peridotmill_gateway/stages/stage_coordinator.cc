#include "peridotmill_gateway/stages/stage_coordinator.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/overload/route_competition.h"
#include "peridotmill_gateway/pace/load_report.h"
#include "peridotmill_gateway/stages/stage_pool.h"

namespace peridotmill {
namespace {

// Backoff for an endpoint that refused a call because it was full: about the
// time of one call.
constexpr Duration kRefusalBackoff = std::chrono::milliseconds(150);
// Interval at which a queue is dispatched again if tasks remain in it.
constexpr Duration kDispatchRetryInterval = std::chrono::milliseconds(40);

// How long a result is assumed to take memory at its producer before any was
// released: during its own call and the queueing and call of the next stage, or
// the queueing at the engine.
constexpr double kAssumedResultStorageMs = 800;
// Weight of one result in the moving average of the storage time.
constexpr double kStorageTimeWeight = 0.02;
// Memory of an engine, in tokens, if the configuration does not state it.
constexpr int64_t kDefaultEngineMemoryTokens = 500'000;
// A call that takes this many times its predicted time is overdue. A failure
// domain in which calls to several endpoints are overdue, and no endpoint
// responds, is suspected to be cut off.
constexpr double kOverdueCallTimeFactor = 1.5;
constexpr Duration kOverdueCheckInterval = std::chrono::milliseconds(100);

// A call that could carry more than this many times the items for which its
// endpoint has result memory waits for memory, since the fixed time of a call
// exceeds that of its items.
constexpr int kMinCallFillDivisor = 2;
// Longest wait for result memory before a small call is sent: about the time of
// one call.
constexpr Duration kMaxResultMemoryWait = std::chrono::milliseconds(200);

}  // namespace

// One call to an endpoint with the items of several tasks.
class StageCoordinator::Call final : public StageCallListener {
 public:
  explicit Call(StageCoordinator* owner) : owner_(owner) {}

  void OnStageResponse(StageResponse response) override {
    owner_->FinishCall(this, std::move(response));
  }

  PoolId pool;
  EndpointPtr endpoint;
  TimePoint started;
  std::vector<BatchPart> parts;
  size_t item_count = 0;
  // Memory that the call's results will take at the endpoint.
  int64_t result_bytes = 0;
  bool was_result_memory_full = false;
  bool is_timed_out = false;
  std::unique_ptr<StageCallHandle> handle;
  std::unique_ptr<Timer> timeout;

 private:
  StageCoordinator* owner_;
};

class StageCoordinator::Handle final : public StageTaskHandle {
 public:
  Handle(StageCoordinator* owner, StageTaskId id) : owner_(owner), id_(id) {}
  ~Handle() override { owner_->Cancel(id_); }

 private:
  StageCoordinator* owner_;
  StageTaskId id_;
};

StageCoordinator::StageCoordinator(const Dependencies& dependencies,
                                   uint64_t seed)
    : dependencies_(dependencies),
      random_(seed),
      admission_(dependencies.clock,
                 dependencies.timers,
                 dependencies.events,
                 {.on_start = [this](StageTaskId id) { Enqueue(id); },
                  .on_refuse =
                      [this](StageTaskId id,
                             StageItemOutcome outcome,
                             Duration retry_after) {
                        EndTask(id, outcome, retry_after);
                      },
                  .on_request_end =
                      [this](const RequestId& request) {
                        request_prompts_.erase(request);
                        RecordPromptResponse(prompt_placements_, request,
                                             dependencies_.events,
                                             dependencies_.clock.Now());
                      },
                  .throughputs = [this] { return EstimateThroughputs(); }}) {}

StageCoordinator::~StageCoordinator() = default;

void StageCoordinator::SetConfiguration(ActiveConfigurationPtr configuration) {
  configuration_ = std::move(configuration);
  max_pauses_.clear();
  for (const RouteDefinition& route : configuration_->config().routes) {
    for (const WeightedPool& pool : route.pools) {
      if (route.target_event_gap) {
        const auto [entry, is_new] =
            max_pauses_.emplace(pool.pool, *route.target_event_gap);
        entry->second = std::min(entry->second, *route.target_event_gap);
      }
    }
  }
  admission_.set_do_routes_compete(
      configuration_ != nullptr &&
      DoRoutesCompeteForStages(configuration_->config()));
}

std::optional<Duration> StageCoordinator::MaxPause(const PoolId& pool) const {
  const auto found = max_pauses_.find(pool);
  return found == max_pauses_.end() ? std::nullopt
                                    : std::optional(found->second);
}

const StagePoolDefinition* StageCoordinator::FindStagePool(
    const PoolId& id) const {
  const PoolDefinition* const pool =
      configuration_ == nullptr ? nullptr : configuration_->FindPool(id);
  return pool != nullptr && pool->stage ? &*pool->stage : nullptr;
}

std::unique_ptr<StageTaskHandle> StageCoordinator::Submit(
    StageTask task,
    StageTaskListener* listener) {
  RecordTaskArrival(task.pool);
  dependencies_.endpoints.RecordDemand(task.pool, dependencies_.clock.Now());
  const StageTaskId id = next_task_++;
  dependencies_.retry_budget.RecordFirstCall(
      task.pool, dependencies_.clock.Now(), kCoordinatorFirstCallShare);
  Task& entry = tasks_[id];
  entry.results.resize(static_cast<size_t>(task.item_count));
  entry.listener = listener;
  entry.task = std::move(task);
  if (!entry.task.failed_engine.empty()) {
    dependencies_.endpoints.EjectReportedEndpoint(entry.task.failed_engine,
                                                  dependencies_.clock.Now());
  }
  if (const auto retry_after = FindUnservableHoldOff(entry.task)) {
    entry.end_timer = dependencies_.timers.After(
        Duration::zero(), [this, id, delay = *retry_after] {
          EndTask(id, StageItemOutcome::kRefused, delay);
        });
    return std::make_unique<Handle>(this, id);
  }
  if (entry.task.prompt && dependencies_.quarantine != nullptr) {
    const auto retry_after =
        dependencies_.quarantine->QuarantineLeft(entry.task.prompt->suspects);
    if (retry_after) {
      entry.end_timer =
          dependencies_.timers.After(Duration::zero(), [this, id, retry_after] {
            EndTask(id, StageItemOutcome::kQuarantined, *retry_after);
          });
      return std::make_unique<Handle>(this, id);
    }
  }
  if (entry.task.prompt) {
    SetIntendedEngine(entry.task);
  }
  const StagePoolDefinition* const pool = FindStagePool(entry.task.pool);
  admission_.Add(id, entry.task,
                 pool == nullptr ? Duration::zero()
                                 : PredictCallTime(*pool, pool->batch_size));
  return std::make_unique<Handle>(this, id);
}

void StageCoordinator::RecordTaskArrival(const PoolId& id) {
  const StagePoolDefinition* const pool = FindStagePool(id);
  if (pool == nullptr) {
    return;
  }
  const TimePoint now = dependencies_.clock.Now();
  PoolQueue& queue = queues_[id];
  if (now - queue.last_task_time > pool->result_retention) {
    queue.active_since = now;
  }
  queue.last_task_time = now;
}

void StageCoordinator::AssumeForeignResults(const PoolId& id,
                                            const StagePoolDefinition& pool) {
  const TimePoint now = dependencies_.clock.Now();
  PoolQueue& queue = queues_[id];
  if (now - queue.active_since > pool.result_retention) {
    return;
  }
  queue.active_since = TimePoint();
  AssumeForeignResultsAt(dependencies_.endpoints.Serving(id), pool, now);
}

void StageCoordinator::Enqueue(StageTaskId id) {
  const auto found = tasks_.find(id);
  if (found == tasks_.end() || found->second.is_ended) {
    return;
  }
  const StageTask& task = found->second.task;
  if (task.item_count == 0) {
    // A task without items only asks for the choice of an engine.
    found->second.maker_domain = task.preferred_domain;
    found->second.end_timer = dependencies_.timers.After(
        Duration::zero(), [this, id] { EndTask(id, StageItemOutcome::kDone); });
    return;
  }
  AddTask(queues_[task.pool].tasks, id,
          MakeWaitingTask(task, dependencies_.clock.Now()));
  ScheduleDispatch(task.pool, Duration::zero());
}

void StageCoordinator::SetIntendedEngine(StageTask& task) {
  RequestPrompt& prompt = request_prompts_[task.request];
  prompt.demand = *task.prompt;
  if (task.item_count == 0) {
    return;
  }
  const EndpointPtr engine = PreviewEngine(
      prompt_placements_, dependencies_.endpoints.Serving(prompt.demand.pool),
      prompt.demand, {.max_pause = MaxPause(prompt.demand.pool)},
      dependencies_.clock.Now());
  if (engine != nullptr) {
    prompt.intended_engine = engine->registration.id;
    task.preferred_domain = engine->registration.failure_domain;
  }
}

EndpointId StageCoordinator::ChooseEngine(StageTaskId id, const Task& task) {
  const auto prompt = request_prompts_.find(task.task.request);
  if (prompt == request_prompts_.end() || admission_.HasUnfinishedStages(id)) {
    return EndpointId();
  }
  const PoolDefinition* const pool =
      configuration_ == nullptr
          ? nullptr
          : configuration_->FindPool(prompt->second.demand.pool);
  const EndpointPtr engine = PlacePrompt(
      prompt_placements_,
      dependencies_.endpoints.Serving(prompt->second.demand.pool),
      task.task.request, prompt->second.demand,
      {.domain = task.maker_domain,
       .bytes = task.task.item_count > 0
                    ? task.task.item_count * task.task.result_bytes
                    : task.task.moved_bytes,
       .intended_engine = prompt->second.intended_engine,
       .max_pause = MaxPause(prompt->second.demand.pool)},
      pool != nullptr && pool->engines ? pool->engines->memory_tokens
                                       : kDefaultEngineMemoryTokens,
      dependencies_.clock.Now());
  return engine == nullptr ? EndpointId() : engine->registration.id;
}

PoolThroughputs StageCoordinator::EstimateThroughputs() const {
  PoolThroughputs throughputs;
  if (configuration_ == nullptr) {
    return throughputs;
  }
  for (const PoolDefinition& pool : configuration_->config().pools) {
    if (pool.stage) {
      throughputs[pool.id] = EstimateThroughput(
          dependencies_.endpoints.Serving(pool.id), *pool.stage,
          ResultStorageTime(pool.id), dependencies_.clock.Now());
    }
  }
  return throughputs;
}

void StageCoordinator::ScheduleDispatch(const PoolId& id, Duration delay) {
  PoolQueue& queue = queues_[id];
  if (queue.dispatch_timer != nullptr) {
    return;
  }
  queue.dispatch_timer = dependencies_.timers.After(delay, [this, id] {
    queues_[id].dispatch_timer.reset();
    Dispatch(id);
  });
}

void StageCoordinator::Dispatch(const PoolId& id) {
  const StagePoolDefinition* const pool = FindStagePool(id);
  if (pool == nullptr) {
    return;
  }
  const TimePoint now = dependencies_.clock.Now();
  for (const StageTaskId task :
       TakeTasksThatMissDeadline(queues_[id].tasks, *pool, now)) {
    EndTask(task, StageItemOutcome::kLate);
  }
  RefuseHeldOffTasks(id, *pool);
  PoolQueue& queue = queues_[id];
  // Tasks may wait for an endpoint in their preferred domain while other
  // endpoints are idle, so each idle endpoint is tried.
  for (const EndpointPtr& endpoint :
       FindIdleEndpoints(dependencies_.endpoints.Serving(id), *pool, now)) {
    while (!queue.tasks.waiting.empty() &&
           endpoint->open_calls < pool->max_concurrent_calls &&
           !IsHeldOff(*endpoint, now) &&
           StartCall(id, queue, *pool, endpoint)) {
    }
  }
  if (!queue.tasks.waiting.empty()) {
    dependencies_.endpoints.RecordDemand(id, now);
    ScheduleDispatch(id, kDispatchRetryInterval);
  }
}

std::optional<Duration> StageCoordinator::FindUnservableHoldOff(
    const StageTask& task) const {
  const TimePoint now = dependencies_.clock.Now();
  std::optional<Duration> retry_after;
  for (const PlannedWork& work : task.plan) {
    const auto hold_off_end =
        FindHoldOffEnd(dependencies_.endpoints.Serving(work.pool), now);
    // Work of the first stages is checked when it is dispatched.
    if (!hold_off_end || work.start == Duration::zero()) {
      continue;
    }
    const TimePoint latest_start =
        task.deadline + (work.start - task.plan.front().end);
    if (*hold_off_end > latest_start) {
      retry_after = std::max(retry_after.value_or(Duration::zero()),
                             *hold_off_end - now - work.start);
    }
  }
  return retry_after;
}

void StageCoordinator::RefuseHeldOffTasks(const PoolId& id,
                                          const StagePoolDefinition& pool) {
  const TimePoint now = dependencies_.clock.Now();
  const auto hold_off_end =
      FindHoldOffEnd(dependencies_.endpoints.Serving(id), now);
  if (!hold_off_end) {
    return;
  }
  for (const StageTaskId task :
       TakeTasksThatMissDeadline(queues_[id].tasks, pool, *hold_off_end)) {
    EndTask(task, StageItemOutcome::kRefused, *hold_off_end - now);
  }
}

std::unordered_map<EndpointId, TimePoint> StageCoordinator::PredictCallEnds(
    const PoolId& id,
    const StagePoolDefinition& pool) const {
  std::unordered_map<EndpointId, TimePoint> call_ends;
  for (const auto& [raw, call] : calls_) {
    if (call->pool == id) {
      TimePoint& end = call_ends[call->endpoint->registration.id];
      end = std::max(end, call->started + PredictDuration(*call, pool));
    }
  }
  return call_ends;
}

bool StageCoordinator::IsCallFullEnough(const BatchQueue& before,
                                        const BatchQueue& after,
                                        const StagePoolDefinition& pool,
                                        Endpoint& endpoint) const {
  const int taken = before.waiting_items - after.waiting_items;
  const int possible = std::min(before.waiting_items, pool.batch_size);
  if (taken * kMinCallFillDivisor >= possible) {
    return true;
  }
  const TimePoint now = dependencies_.clock.Now();
  if (endpoint.capacity_wait_since == TimePoint()) {
    endpoint.capacity_wait_since = now;
  }
  return now - endpoint.capacity_wait_since >= kMaxResultMemoryWait;
}

void StageCoordinator::RecordForeignResults(const Call& call) {
  const StagePoolDefinition* const pool = FindStagePool(call.pool);
  if (pool == nullptr || pool->result_capacity_bytes == 0) {
    return;
  }
  // If one endpoint stores foreign results, the others of the pool do so too.
  AssumeForeignResults(call.pool, *pool);
  Endpoint& endpoint = *call.endpoint;
  endpoint.untracked_result_bytes =
      std::max<int64_t>(0, pool->result_capacity_bytes - endpoint.result_bytes);
  endpoint.untracked_results_since = dependencies_.clock.Now();
  dependencies_.events.Write(
      "endpoint_room_taken",
      {{"endpoint", endpoint.registration.id.value()},
       {"known_bytes", std::to_string(endpoint.result_bytes)},
       {"foreign_bytes", std::to_string(endpoint.untracked_result_bytes)}});
}

bool StageCoordinator::StartCall(const PoolId& id,
                                 PoolQueue& queue,
                                 const StagePoolDefinition& pool,
                                 const EndpointPtr& endpoint) {
  BatchTarget target;
  const TimePoint now = dependencies_.clock.Now();
  const auto& serving = dependencies_.endpoints.Serving(id);
  target.free_result_bytes = EstimateFreeResultBytes(*endpoint, pool, now);
  target.failure_domain = endpoint->registration.failure_domain;
  target.call_time_ratio = endpoint->call_time_ratio;
  target.domain_waits =
      PredictDomainWaits(serving, pool, PredictCallEnds(id, pool), now);
  target.is_pool_saturated =
      IsPoolSaturated(serving, pool, queue.tasks.waiting_items, now);
  // Takes the batch from a copy of the queue, since a call with too few items
  // is not sent.
  BatchQueue remaining = queue.tasks;
  std::vector<BatchPart> parts = TakeBatch(remaining, pool, target, now);
  if (parts.empty() ||
      !IsCallFullEnough(queue.tasks, remaining, pool, *endpoint)) {
    return false;
  }
  queue.tasks = std::move(remaining);
  endpoint->capacity_wait_since = TimePoint();
  auto call = std::make_unique<Call>(this);
  call->pool = id;
  call->endpoint = endpoint;
  call->started = now;
  call->parts = std::move(parts);
  std::vector<StageItem> items;
  for (const BatchPart& part : call->parts) {
    const StageTask& task = tasks_.at(part.task).task;
    call->result_bytes +=
        static_cast<int64_t>(part.items.size()) * task.result_bytes;
    for (const int item : part.items) {
      items.push_back({.request = task.request,
                       .stage = task.stage,
                       .piece = static_cast<size_t>(item),
                       .time_left = task.deadline - now,
                       .key = task.key,
                       .inputs = task.inputs});
    }
  }
  const Duration timeout =
      StageCallTimeout(pool, static_cast<int>(items.size()));
  call->item_count = items.size();
  Call* const raw = call.get();
  int64_t moved_bytes = 0;
  for (const BatchPart& part : call->parts) {
    const StageTask& task = tasks_.at(part.task).task;
    if (task.preferred_domain != target.failure_domain) {
      moved_bytes += task.moved_bytes *
                     static_cast<int64_t>(part.items.size()) / task.item_count;
    }
  }
  dependencies_.events.Write(
      "stage_call",
      {{"pool", id.value()},
       {"endpoint", endpoint->registration.id.value()},
       {"tasks", std::to_string(call->parts.size())},
       {"items", std::to_string(items.size())},
       {"waiting_items", std::to_string(queue.tasks.waiting_items)},
       {"moved_bytes", std::to_string(moved_bytes)}});
  endpoint->result_bytes += call->result_bytes;
  BeginCall(*endpoint, now);
  call->handle = dependencies_.caller.Start(endpoint->registration, items, raw);
  call->timeout = dependencies_.timers.After(timeout, [this, raw] {
    raw->is_timed_out = true;
    FinishCall(raw, StageResponse());
  });
  calls_.emplace(raw, std::move(call));
  ScheduleOverdueCheck();
  return true;
}

void StageCoordinator::ScheduleOverdueCheck() {
  if (overdue_check_timer_ == nullptr && !calls_.empty()) {
    overdue_check_timer_ =
        dependencies_.timers.After(kOverdueCheckInterval, [this] {
          overdue_check_timer_.reset();
          CheckOverdueCalls();
          ScheduleOverdueCheck();
        });
  }
}

void StageCoordinator::CheckOverdueCalls() {
  const TimePoint now = dependencies_.clock.Now();
  std::set<FailureDomainId> suspected;
  std::vector<Call*> abandoned;
  for (const auto& [raw, call] : calls_) {
    if (!IsOverdue(*call, now)) {
      continue;
    }
    const EndpointRegistration& registration = call->endpoint->registration;
    DomainHealth& domain = *call->endpoint->domain;
    if (domain.is_suspected) {
      // The call is a probe, or started before the domain was suspected.
      abandoned.push_back(raw);
    } else if (RecordUnresponsiveEndpoint(domain, registration.id, now)) {
      suspected.insert(registration.failure_domain);
    }
  }
  for (const FailureDomainId& domain : suspected) {
    dependencies_.events.Write("domain_suspected",
                               {{"domain", domain.value()}});
    for (const auto& [raw, call] : calls_) {
      if (call->endpoint->registration.failure_domain == domain) {
        abandoned.push_back(raw);
      }
    }
  }
  for (Call* const call : abandoned) {
    // Finishing one call may have ended others.
    if (calls_.contains(call)) {
      call->is_timed_out = true;
      FinishCall(call, StageResponse());
    }
  }
}

Duration StageCoordinator::PredictDuration(
    const Call& call,
    const StagePoolDefinition& pool) const {
  return FromMilliseconds(
      ToMilliseconds(PredictCallTime(pool, static_cast<int>(call.item_count))) *
      call.endpoint->call_time_ratio);
}

bool StageCoordinator::IsOverdue(const Call& call, TimePoint now) const {
  const StagePoolDefinition* const pool = FindStagePool(call.pool);
  if (pool == nullptr) {
    return false;
  }
  const double predicted_ms = ToMilliseconds(PredictCallTime(
                                  *pool, static_cast<int>(call.item_count))) *
                              std::max(1.0, call.endpoint->call_time_ratio);
  return ToMilliseconds(now - call.started) >
         kOverdueCallTimeFactor * predicted_ms;
}

void StageCoordinator::FinishCall(Call* call, StageResponse response) {
  const auto found = calls_.find(call);
  const std::unique_ptr<Call> owned = std::move(found->second);
  calls_.erase(found);
  RecordCallEnd(*owned, response);
  const bool is_answered = response.outcome == StageCallOutcome::kAnswered;
  std::vector<ResultHandle> unused;
  size_t position = 0;
  for (const BatchPart& part : owned->parts) {
    const size_t first = position;
    position += part.items.size();
    if (!is_answered) {
      RetryItems(owned->pool, part.task, part.items,
                 response.outcome != StageCallOutcome::kNotSent);
      continue;
    }
    ProcessResults(*owned, part, response.results.data() + first, unused);
  }
  if (owned->was_result_memory_full) {
    RecordForeignResults(*owned);
  }
  if (!unused.empty()) {
    dependencies_.caller.Release(IncarnationOf(owned->endpoint->registration),
                                 unused);
  }
  Dispatch(owned->pool);
}

void StageCoordinator::ProcessResults(Call& call,
                                      const BatchPart& part,
                                      StageItemResult* results,
                                      std::vector<ResultHandle>& unused) {
  const auto task = tasks_.find(part.task);
  std::vector<int> unfinished;
  std::optional<StageItemOutcome> failure;
  for (size_t i = 0; i < part.items.size(); ++i) {
    StageItemResult& result = results[i];
    switch (result.outcome) {
      case StageItemOutcome::kDone:
        if (task == tasks_.end()) {
          unused.push_back(std::move(result.handle));
        } else {
          StoreResult(task->second, static_cast<size_t>(part.items[i]), call,
                      std::move(result.handle));
        }
        break;
      case StageItemOutcome::kLate:
      case StageItemOutcome::kInputGone:
        failure = result.outcome;
        break;
      case StageItemOutcome::kNoResultCapacity:
        call.was_result_memory_full = true;
        unfinished.push_back(part.items[i]);
        break;
      case StageItemOutcome::kFailed:
      case StageItemOutcome::kRefused:
      case StageItemOutcome::kQuarantined:
        unfinished.push_back(part.items[i]);
        break;
    }
  }
  if (task == tasks_.end()) {
    return;
  }
  if (failure) {
    EndTask(part.task, *failure);
  } else if (!unfinished.empty()) {
    RetryItems(call.pool, part.task, unfinished, /*charges_retry_budget=*/true);
  } else if (task->second.done_items == task->second.task.item_count) {
    EndTask(part.task, StageItemOutcome::kDone);
  }
}

void StageCoordinator::RecordCallEnd(Call& call,
                                     const StageResponse& response) {
  const TimePoint now = dependencies_.clock.Now();
  Endpoint& endpoint = *call.endpoint;
  const bool is_answered = response.outcome == StageCallOutcome::kAnswered;
  const bool is_refused = response.outcome == StageCallOutcome::kRefused;
  endpoint.result_bytes -= call.result_bytes;
  RemoveUnansweredCall(endpoint, call.started);
  const bool is_unresponsive =
      call.is_timed_out || response.outcome == StageCallOutcome::kNotSent;
  const bool is_sound = is_answered && response.malformed_handles == 0;
  EndCall(endpoint,
          is_sound          ? CallOutcome::kSuccess
          : is_refused      ? CallOutcome::kRefused
          : is_unresponsive ? CallOutcome::kUnresponsive
                            : CallOutcome::kFailure,
          now);
  if (is_refused) {
    endpoint.ejected_until = now + kRefusalBackoff;
  }
  RecordEndpointNotice(dependencies_.endpoints, dependencies_.events,
                       IncarnationOf(endpoint.registration), response.notice,
                       now);
  const StagePoolDefinition* const pool = FindStagePool(call.pool);
  if (is_answered && pool != nullptr) {
    RecordCallTime(endpoint, *pool, static_cast<int>(call.item_count),
                   now - call.started);
  }
  if (response.load) {
    RecordReportedLoad(endpoint, *response.load, now);
  }
  if (response.malformed_handles > 0) {
    dependencies_.events.Write(
        "stage_handles_malformed",
        {{"pool", call.pool.value()},
         {"endpoint", endpoint.registration.id.value()},
         {"items", std::to_string(response.malformed_handles)}});
  }
  if (!is_answered) {
    dependencies_.events.Write(
        "stage_call_failed",
        {{"pool", call.pool.value()},
         {"endpoint", endpoint.registration.id.value()},
         {"outcome", std::string(ToString(response.outcome))},
         {"tasks", std::to_string(call.parts.size())},
         {"ms",
          std::to_string(std::lround(ToMilliseconds(now - call.started)))}});
  }
}

void StageCoordinator::StoreResult(Task& task,
                                   size_t item,
                                   const Call& call,
                                   ResultHandle handle) {
  const EndpointPtr& producer = call.endpoint;
  StoredResult& result = task.results[item];
  if (result.producer != nullptr) {
    // The item was run twice. The newer result replaces the older one.
    ReleaseResult(task, item);
  }
  result.handle = std::move(handle);
  result.producer = producer;
  result.stored_since = call.started;
  task.maker_domain = producer->registration.failure_domain;
  const StagePoolDefinition* const pool = FindStagePool(task.task.pool);
  if (task.expiry == nullptr && pool != nullptr) {
    task.expiry = dependencies_.timers.After(
        pool->result_retention, [this, &task] { ExpireResults(task); });
  }
  producer->result_bytes += task.task.result_bytes;
  ++task.done_items;
}

void StageCoordinator::ExpireResults(Task& task) {
  for (StoredResult& result : task.results) {
    if (result.producer != nullptr) {
      result.producer->result_bytes -= task.task.result_bytes;
      RecordStorageTime(task.task.pool, result.stored_since);
      result.producer = nullptr;
    }
  }
}

void StageCoordinator::RecordStorageTime(const PoolId& id,
                                         TimePoint stored_since) {
  const double stored_ms =
      ToMilliseconds(dependencies_.clock.Now() - stored_since);
  double& average = queues_[id].result_storage_ms;
  average = average == 0 ? (stored_ms + kAssumedResultStorageMs) / 2
                         : average + kStorageTimeWeight * (stored_ms - average);
}

Duration StageCoordinator::ResultStorageTime(const PoolId& id) const {
  const auto queue = queues_.find(id);
  return FromMilliseconds(queue == queues_.end() ||
                                  queue->second.result_storage_ms == 0
                              ? kAssumedResultStorageMs
                              : queue->second.result_storage_ms);
}

void StageCoordinator::ReleaseResult(Task& task, size_t item) {
  StoredResult& result = task.results[item];
  if (result.producer == nullptr) {
    return;
  }
  result.producer->result_bytes -= task.task.result_bytes;
  RecordStorageTime(task.task.pool, result.stored_since);
  dependencies_.caller.Release(IncarnationOf(result.producer->registration),
                               {result.handle});
  result = StoredResult();
  --task.done_items;
}

void StageCoordinator::RetryItems(const PoolId& id,
                                  StageTaskId task_id,
                                  const std::vector<int>& items,
                                  bool charges_retry_budget) {
  const auto task = tasks_.find(task_id);
  if (task == tasks_.end() || task->second.is_ended) {
    return;
  }
  const TimePoint now = dependencies_.clock.Now();
  const bool is_retry_allowed =
      !charges_retry_budget || dependencies_.retry_budget.TryTakeRetries(
                                   id, static_cast<int>(items.size()), now);
  dependencies_.events.Write(
      is_retry_allowed ? "stage_items_repeated" : "stage_repeat_refused",
      {{"request", task->second.task.request.value()},
       {"pool", id.value()},
       {"stage", std::to_string(task->second.task.stage)},
       {"items", std::to_string(items.size())}});
  if (!is_retry_allowed) {
    EndTask(task_id, StageItemOutcome::kFailed);
    return;
  }
  WaitingTask waiting = MakeWaitingTask(task->second.task, now);
  waiting.items = items;
  waiting.is_started = true;
  AddTask(queues_[id].tasks, task_id, waiting);
}

void StageCoordinator::EndTask(StageTaskId id,
                               StageItemOutcome outcome,
                               Duration retry_after) {
  const auto found = tasks_.find(id);
  if (found == tasks_.end() || found->second.is_ended) {
    return;
  }
  Task& task = found->second;
  task.is_ended = true;
  RemoveTask(queues_[task.task.pool].tasks, id);
  admission_.Finish(id);
  StageTaskResult result;
  result.outcome = outcome;
  result.retry_after = retry_after;
  if (outcome == StageItemOutcome::kDone) {
    for (const StoredResult& stored : task.results) {
      result.handles.push_back(stored.handle);
    }
    result.maker_domain = task.maker_domain;
    result.engine = ChooseEngine(id, task);
  }
  // The listener may destroy the handle, and the task with it.
  task.listener->OnStageTaskEnd(task.task.stage, std::move(result));
}

void StageCoordinator::Cancel(StageTaskId id) {
  const auto found = tasks_.find(id);
  if (found == tasks_.end()) {
    return;
  }
  Task& task = found->second;
  const PoolId pool = task.task.pool;
  RemoveTask(queues_[pool].tasks, id);
  for (size_t i = 0; i < task.results.size(); ++i) {
    ReleaseResult(task, i);
  }
  // A call in flight is not cancelled: its results take memory at the endpoint
  // until they are released, and the response contains their handles.
  tasks_.erase(found);
  admission_.Remove(id);
  if (!queues_[pool].tasks.waiting.empty()) {
    ScheduleDispatch(pool, Duration::zero());
  }
}

}  // namespace peridotmill
