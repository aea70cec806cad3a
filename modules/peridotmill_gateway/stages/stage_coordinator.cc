#include "peridotmill_gateway/stages/stage_coordinator.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <optional>
#include <string>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/placement/endpoint_placement.h"

namespace peridotmill {
namespace {

// A call that takes this many times its predicted time is given up: slow
// endpoints take four to five times as long, and two calls of other nodes may
// wait in front.
constexpr int kCallTimeoutFactor = 3;
constexpr Duration kCallTimeoutMargin = std::chrono::milliseconds(300);
// An endpoint that refused a call as full is left alone for about one call.
constexpr Duration kRefusalPause = std::chrono::milliseconds(150);
// Time until the next look at a queue for which no endpoint was free.
constexpr Duration kRetryInterval = std::chrono::milliseconds(40);

// For how long a result takes room: its own call, the next stage's wait and
// call, or the engine's wait.
constexpr Duration kResultHoldTime = std::chrono::milliseconds(800);
constexpr double kSecondMs = 1000;
// Tokens of an engine's memory where the configuration does not tell.
constexpr int64_t kDefaultEngineMemory = 500'000;
// Weight of the newest call in an endpoint's pace, and the bounds of one call's
// ratio: a slow endpoint takes up to eight times as long.
constexpr double kPaceWeight = 0.3;
constexpr double kLeastPace = 0.3;
constexpr double kMostPace = 8;

// A call that takes this many times its predicted time is overdue. A failure
// domain of which several endpoints are overdue, and none answers, is cut off.
constexpr double kOverdueFactor = 1.5;
constexpr Duration kReviewInterval = std::chrono::milliseconds(100);

WaitingTask Describe(const StageTask& task, TimePoint submitted) {
  WaitingTask waiting;
  waiting.submitted = submitted;
  waiting.due = task.due;
  waiting.deadline = task.deadline;
  waiting.priority = task.priority;
  waiting.items.resize(static_cast<size_t>(task.item_count));
  std::iota(waiting.items.begin(), waiting.items.end(), 0);
  waiting.result_bytes = task.result_bytes;
  waiting.preferred_domain = task.preferred_domain;
  waiting.moved_bytes = task.moved_bytes;
  return waiting;
}

std::string_view NameOf(StageCallOutcome outcome) {
  switch (outcome) {
    case StageCallOutcome::kAnswered:
      return "answered";
    case StageCallOutcome::kRefused:
      return "refused";
    case StageCallOutcome::kNotSent:
      return "not_sent";
    case StageCallOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

// A call that could carry this many times what the endpoint has room for waits
// for room, since the fixed time of a call exceeds that of its items.
constexpr int kLeastFillDivisor = 2;
// A pool is saturated when at most this part of its endpoints is idle, and this
// part of what they carry in a call waits.
constexpr ptrdiff_t kIdleDivisorOfSaturated = 8;
constexpr ptrdiff_t kBacklogDivisorOfSaturated = 4;
// Share of a maker's room that results of another coordinator are assumed to
// take when this one has just begun and found some; it comes free over their
// retention.
constexpr double kAssumedForeignShare = 0.6;
// Longest wait for room, about one call.
constexpr Duration kLongestRoomWait = std::chrono::milliseconds(200);

}  // namespace

// One call to an endpoint with the items of several tasks.
class StageCoordinator::Call final : public StageCallListener {
 public:
  explicit Call(StageCoordinator* owner) : owner_(owner) {}

  void OnStageAnswer(StageAnswer answer) override {
    owner_->FinishCall(this, std::move(answer));
  }

  PoolId pool;
  EndpointPtr endpoint;
  TimePoint started;
  std::vector<BatchPart> parts;
  size_t item_count = 0;
  // Room that the call's results will take.
  int64_t result_bytes = 0;
  bool found_no_room = false;
  bool is_timed_out = false;
  std::unique_ptr<OpenStageCall> open;
  std::unique_ptr<Timer> timeout;

 private:
  StageCoordinator* owner_;
};

class StageCoordinator::Ticket final : public OpenStageTask {
 public:
  Ticket(StageCoordinator* owner, StageTaskId id) : owner_(owner), id_(id) {}
  ~Ticket() override { owner_->Abandon(id_); }

 private:
  StageCoordinator* owner_;
  StageTaskId id_;
};

StageCoordinator::StageCoordinator(const Dependencies& dependencies,
                                   uint64_t seed)
    : dependencies_(dependencies),
      random_(seed),
      entrance_(dependencies.clock,
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
                       prompts_.erase(request);
                       RemovePrompt(engines_, request);
                     },
                 .rates = [this] { return EstimateRates(); }}) {}

StageCoordinator::~StageCoordinator() = default;

void StageCoordinator::SetConfiguration(ActiveConfigurationPtr configuration) {
  configuration_ = std::move(configuration);
}

const StagePoolDefinition* StageCoordinator::FindStagePool(
    const PoolId& id) const {
  const PoolDefinition* const pool =
      configuration_ == nullptr ? nullptr : configuration_->FindPool(id);
  return pool != nullptr && pool->stage ? &*pool->stage : nullptr;
}

std::unique_ptr<OpenStageTask> StageCoordinator::Submit(
    StageTask task,
    StageTaskListener* listener) {
  NoteTaskOf(task.pool);
  const StageTaskId id = next_task_++;
  dependencies_.repeats.AddFirst(task.pool, dependencies_.clock.Now(),
                                 kCoordinatingShare);
  Task& entry = tasks_[id];
  entry.results.resize(static_cast<size_t>(task.item_count));
  entry.listener = listener;
  entry.task = std::move(task);
  if (!entry.task.failed_engine.empty()) {
    dependencies_.endpoints.EjectReportedEndpoint(entry.task.failed_engine,
                                                  dependencies_.clock.Now());
  }
  if (entry.task.prompt) {
    prompts_[entry.task.request] = *entry.task.prompt;
  }
  const StagePoolDefinition* const pool = FindStagePool(entry.task.pool);
  entrance_.Add(
      id, entry.task,
      pool == nullptr ? Duration::zero() : CallTime(*pool, pool->batch_size));
  return std::make_unique<Ticket>(this, id);
}

void StageCoordinator::NoteTaskOf(const PoolId& id) {
  const StagePoolDefinition* const pool = FindStagePool(id);
  if (pool == nullptr) {
    return;
  }
  const TimePoint now = dependencies_.clock.Now();
  Queue& queue = queues_[id];
  if (now - queue.last_task > pool->result_retention) {
    queue.began = now;
  }
  queue.last_task = now;
}

void StageCoordinator::AssumeForeignResults(const PoolId& id,
                                            const StagePoolDefinition& pool) {
  const TimePoint now = dependencies_.clock.Now();
  Queue& queue = queues_[id];
  if (now - queue.began > pool.result_retention) {
    return;
  }
  queue.began = TimePoint();
  const auto assumed = static_cast<int64_t>(
      kAssumedForeignShare * static_cast<double>(pool.result_capacity_bytes));
  for (const EndpointPtr& endpoint : dependencies_.endpoints.Serving(id)) {
    if (endpoint->untracked_result_bytes < assumed) {
      endpoint->untracked_result_bytes = assumed;
      endpoint->untracked_results_since = now;
    }
  }
}

void StageCoordinator::Enqueue(StageTaskId id) {
  const auto found = tasks_.find(id);
  if (found == tasks_.end() || found->second.is_ended) {
    return;
  }
  const StageTask& task = found->second.task;
  if (task.item_count == 0) {
    // Only an engine is asked for.
    found->second.maker_domain = task.preferred_domain;
    found->second.end_timer = dependencies_.timers.After(
        Duration::zero(), [this, id] { EndTask(id, StageItemOutcome::kDone); });
    return;
  }
  AddTask(queues_[task.pool].batch, id,
          Describe(task, dependencies_.clock.Now()));
  ScheduleDispatch(task.pool, Duration::zero());
}

EndpointId StageCoordinator::ChooseEngine(StageTaskId id, const Task& task) {
  const auto prompt = prompts_.find(task.task.request);
  if (prompt == prompts_.end() || entrance_.HasMoreWork(id)) {
    return EndpointId();
  }
  const PoolDefinition* const pool =
      configuration_ == nullptr ? nullptr
                                : configuration_->FindPool(prompt->second.pool);
  const EndpointPtr engine = PlacePrompt(
      engines_, dependencies_.endpoints.Serving(prompt->second.pool),
      task.task.request, prompt->second, task.maker_domain,
      task.task.item_count > 0 ? task.task.item_count * task.task.result_bytes
                               : task.task.moved_bytes,
      pool != nullptr && pool->engines ? pool->engines->memory_tokens
                                       : kDefaultEngineMemory,
      dependencies_.clock.Now(), random_);
  return engine == nullptr ? EndpointId() : engine->registration.id;
}

PoolRates StageCoordinator::EstimateRates() const {
  PoolRates rates;
  if (configuration_ == nullptr) {
    return rates;
  }
  for (const PoolDefinition& pool : configuration_->config().pools) {
    if (!pool.stage) {
      continue;
    }
    const StagePoolDefinition& stage = *pool.stage;
    PoolRate& rate = rates[pool.id];
    const double call_seconds =
        ToMilliseconds(CallTime(stage, stage.batch_size)) / kSecondMs;
    for (const EndpointPtr& endpoint :
         dependencies_.endpoints.Serving(pool.id)) {
      if (!IsTrusted(*endpoint, dependencies_.clock.Now(),
                     kCallTimeoutFactor * CallTime(stage, stage.batch_size))) {
        continue;
      }
      rate.items += stage.max_concurrent_calls * stage.batch_size /
                    (call_seconds * endpoint->call_time_ratio);
      rate.result_bytes += static_cast<double>(stage.result_capacity_bytes) /
                           (ToMilliseconds(kResultHoldTime) / kSecondMs);
    }
  }
  return rates;
}

void StageCoordinator::ScheduleDispatch(const PoolId& id, Duration delay) {
  Queue& queue = queues_[id];
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
  for (const StageTaskId task : TakeHopeless(queues_[id].batch, *pool, now)) {
    EndTask(task, StageItemOutcome::kLate);
  }
  Queue& queue = queues_[id];
  // Tasks may wait for an endpoint of their domain while another is idle, so
  // that each idle endpoint is offered the queue once.
  for (const EndpointPtr& endpoint : IdleEndpoints(id, *pool)) {
    while (!queue.batch.waiting.empty() &&
           endpoint->open_calls < pool->max_concurrent_calls &&
           StartCall(id, queue, *pool, endpoint)) {
    }
  }
  if (!queue.batch.waiting.empty()) {
    ScheduleDispatch(id, kRetryInterval);
  }
}

std::vector<EndpointPtr> StageCoordinator::IdleEndpoints(
    const PoolId& id,
    const StagePoolDefinition& pool) const {
  std::vector<EndpointPtr> idle;
  for (const EndpointPtr& endpoint : dependencies_.endpoints.Serving(id)) {
    if (endpoint->open_calls < pool.max_concurrent_calls &&
        IsTrusted(*endpoint, dependencies_.clock.Now(),
                  kCallTimeoutFactor * CallTime(pool, pool.batch_size))) {
      idle.push_back(endpoint);
    }
  }
  // The one with the most room takes the fullest call.
  std::stable_sort(idle.begin(), idle.end(),
                   [](const EndpointPtr& a, const EndpointPtr& b) {
                     return a->result_bytes < b->result_bytes;
                   });
  return idle;
}

bool StageCoordinator::IsSaturated(const PoolId& id,
                                   const StagePoolDefinition& pool,
                                   const BatchQueue& queue) const {
  const auto& serving = dependencies_.endpoints.Serving(id);
  const auto idle = std::count_if(
      serving.begin(), serving.end(), [&](const EndpointPtr& endpoint) {
        return endpoint->open_calls < pool.max_concurrent_calls;
      });
  return idle <= std::max<ptrdiff_t>(
                     1, std::ssize(serving) / kIdleDivisorOfSaturated) &&
         ptrdiff_t{queue.waiting_items} * kBacklogDivisorOfSaturated >=
             std::ssize(serving) * pool.batch_size;
}

std::set<FailureDomainId> StageCoordinator::ServedDomains(
    const PoolId& id,
    const StagePoolDefinition& pool) const {
  std::set<FailureDomainId> domains;
  for (const EndpointPtr& endpoint : dependencies_.endpoints.Serving(id)) {
    if (IsTrusted(*endpoint, dependencies_.clock.Now(),
                  kCallTimeoutFactor * CallTime(pool, pool.batch_size))) {
      domains.insert(endpoint->registration.failure_domain);
    }
  }
  return domains;
}

bool StageCoordinator::IsWorthACall(const BatchQueue& before,
                                    const BatchQueue& after,
                                    const StagePoolDefinition& pool,
                                    Endpoint& endpoint) const {
  const int taken = before.waiting_items - after.waiting_items;
  const int possible = std::min(before.waiting_items, pool.batch_size);
  if (taken * kLeastFillDivisor >= possible) {
    return true;
  }
  const TimePoint now = dependencies_.clock.Now();
  if (endpoint.capacity_wait_since == TimePoint()) {
    endpoint.capacity_wait_since = now;
  }
  return now - endpoint.capacity_wait_since >= kLongestRoomWait;
}

int64_t StageCoordinator::FreeRoom(const Endpoint& endpoint,
                                   const StagePoolDefinition& pool) const {
  if (pool.result_capacity_bytes == 0) {
    return std::numeric_limits<int64_t>::max();
  }
  // Foreign results run out, or are released, within their retention.
  const double age = ToMilliseconds(dependencies_.clock.Now() -
                                    endpoint.untracked_results_since) /
                     ToMilliseconds(pool.result_retention);
  const double foreign = static_cast<double>(endpoint.untracked_result_bytes) *
                         std::max(0.0, 1 - age);
  return pool.result_capacity_bytes - endpoint.result_bytes -
         static_cast<int64_t>(foreign);
}

void StageCoordinator::NoteForeignResults(const Call& call) {
  const StagePoolDefinition* const pool = FindStagePool(call.pool);
  if (pool == nullptr || pool->result_capacity_bytes == 0) {
    return;
  }
  // Where one maker is short of room, the others will be.
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
                                 Queue& queue,
                                 const StagePoolDefinition& pool,
                                 const EndpointPtr& endpoint) {
  BatchTarget target;
  target.room_bytes = FreeRoom(*endpoint, pool);
  target.failure_domain = endpoint->registration.failure_domain;
  target.call_time_ratio = endpoint->call_time_ratio;
  target.served_domains = ServedDomains(id, pool);
  target.is_pool_saturated = IsSaturated(id, pool, queue.batch);
  const TimePoint now = dependencies_.clock.Now();
  // A trial on a copy, for a call that carries too little is not sent.
  BatchQueue rest = queue.batch;
  std::vector<BatchPart> parts = TakeBatch(rest, pool, target, now);
  if (parts.empty() || !IsWorthACall(queue.batch, rest, pool, *endpoint)) {
    return false;
  }
  queue.batch = std::move(rest);
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
      kCallTimeoutFactor * CallTime(pool, static_cast<int>(items.size())) +
      kCallTimeoutMargin;
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
       {"waiting_items", std::to_string(queue.batch.waiting_items)},
       {"moved_bytes", std::to_string(moved_bytes)}});
  endpoint->result_bytes += call->result_bytes;
  BeginCall(*endpoint, now);
  call->open = dependencies_.caller.Start(endpoint->registration, items, raw);
  call->timeout = dependencies_.timers.After(timeout, [this, raw] {
    raw->is_timed_out = true;
    FinishCall(raw, StageAnswer());
  });
  calls_.emplace(raw, std::move(call));
  ScheduleReview();
  return true;
}

void StageCoordinator::ScheduleReview() {
  if (review_timer_ == nullptr && !calls_.empty()) {
    review_timer_ = dependencies_.timers.After(kReviewInterval, [this] {
      review_timer_.reset();
      ReviewOverdueCalls();
      ScheduleReview();
    });
  }
}

void StageCoordinator::ReviewOverdueCalls() {
  const TimePoint now = dependencies_.clock.Now();
  std::set<FailureDomainId> lost;
  std::vector<Call*> given_up;
  for (const auto& [raw, call] : calls_) {
    if (!IsOverdue(*call, now)) {
      continue;
    }
    const EndpointRegistration& registration = call->endpoint->registration;
    DomainHealth& domain = *call->endpoint->domain;
    if (domain.is_suspected) {
      // A probe, or a call that began before.
      given_up.push_back(raw);
    } else if (RecordUnresponsiveEndpoint(domain, registration.id, now)) {
      lost.insert(registration.failure_domain);
    }
  }
  for (const FailureDomainId& domain : lost) {
    dependencies_.events.Write("domain_suspected",
                               {{"domain", domain.value()}});
    for (const auto& [raw, call] : calls_) {
      if (call->endpoint->registration.failure_domain == domain) {
        given_up.push_back(raw);
      }
    }
  }
  for (Call* const call : given_up) {
    // Finishing one may have ended others.
    if (calls_.contains(call)) {
      call->is_timed_out = true;
      FinishCall(call, StageAnswer());
    }
  }
}

bool StageCoordinator::IsOverdue(const Call& call, TimePoint now) const {
  const StagePoolDefinition* const pool = FindStagePool(call.pool);
  if (pool == nullptr) {
    return false;
  }
  const double predicted_ms =
      ToMilliseconds(CallTime(*pool, static_cast<int>(call.item_count))) *
      std::max(1.0, call.endpoint->call_time_ratio);
  return ToMilliseconds(now - call.started) > kOverdueFactor * predicted_ms;
}

void StageCoordinator::FinishCall(Call* call, StageAnswer answer) {
  const auto found = calls_.find(call);
  const std::unique_ptr<Call> owned = std::move(found->second);
  calls_.erase(found);
  CloseCall(*owned, answer);
  const bool is_answered = answer.outcome == StageCallOutcome::kAnswered;
  std::vector<ResultHandle> unused;
  size_t position = 0;
  for (const BatchPart& part : owned->parts) {
    const size_t first = position;
    position += part.items.size();
    if (!is_answered) {
      RepeatItems(owned->pool, part.task, part.items,
                  answer.outcome != StageCallOutcome::kNotSent);
      continue;
    }
    TakeResults(*owned, part, answer.results.data() + first, unused);
  }
  if (owned->found_no_room) {
    NoteForeignResults(*owned);
  }
  if (!unused.empty()) {
    dependencies_.caller.Release(unused);
  }
  Dispatch(owned->pool);
}

void StageCoordinator::TakeResults(Call& call,
                                   const BatchPart& part,
                                   StageItemResult* results,
                                   std::vector<ResultHandle>& unused) {
  const auto task = tasks_.find(part.task);
  std::vector<int> missing;
  std::optional<StageItemOutcome> failure;
  for (size_t i = 0; i < part.items.size(); ++i) {
    StageItemResult& result = results[i];
    switch (result.outcome) {
      case StageItemOutcome::kDone:
        if (task == tasks_.end()) {
          unused.push_back(std::move(result.handle));
        } else {
          KeepResult(task->second, static_cast<size_t>(part.items[i]),
                     call.endpoint, std::move(result.handle));
        }
        break;
      case StageItemOutcome::kLate:
      case StageItemOutcome::kInputGone:
        failure = result.outcome;
        break;
      case StageItemOutcome::kNoRoom:
        call.found_no_room = true;
        missing.push_back(part.items[i]);
        break;
      case StageItemOutcome::kFailed:
      case StageItemOutcome::kRefused:
        missing.push_back(part.items[i]);
        break;
    }
  }
  if (task == tasks_.end()) {
    return;
  }
  if (failure) {
    EndTask(part.task, *failure);
  } else if (!missing.empty()) {
    RepeatItems(call.pool, part.task, missing, /*counts=*/true);
  } else if (task->second.done_items == task->second.task.item_count) {
    EndTask(part.task, StageItemOutcome::kDone);
  }
}

void StageCoordinator::CloseCall(Call& call, const StageAnswer& answer) {
  const TimePoint now = dependencies_.clock.Now();
  Endpoint& endpoint = *call.endpoint;
  const bool is_answered = answer.outcome == StageCallOutcome::kAnswered;
  const bool is_refused = answer.outcome == StageCallOutcome::kRefused;
  endpoint.result_bytes -= call.result_bytes;
  RemoveUnansweredCall(endpoint, call.started);
  const bool is_silent =
      call.is_timed_out || answer.outcome == StageCallOutcome::kNotSent;
  EndCall(endpoint,
          is_answered  ? CallOutcome::kSuccess
          : is_refused ? CallOutcome::kRefused
          : is_silent  ? CallOutcome::kUnresponsive
                       : CallOutcome::kFailure,
          now);
  if (is_refused) {
    endpoint.ejected_until = now + kRefusalPause;
  }
  const StagePoolDefinition* const pool = FindStagePool(call.pool);
  if (is_answered && pool != nullptr) {
    const double ratio =
        ToMilliseconds(now - call.started) /
        ToMilliseconds(CallTime(*pool, static_cast<int>(call.item_count)));
    endpoint.call_time_ratio +=
        kPaceWeight *
        (std::clamp(ratio, kLeastPace, kMostPace) - endpoint.call_time_ratio);
  }
  if (answer.load) {
    endpoint.reported_running = answer.load->running;
    endpoint.reported_waiting = answer.load->waiting;
    endpoint.reported_at = now;
  }
  if (!is_answered) {
    dependencies_.events.Write(
        "stage_call_failed",
        {{"pool", call.pool.value()},
         {"endpoint", endpoint.registration.id.value()},
         {"outcome", std::string(NameOf(answer.outcome))},
         {"tasks", std::to_string(call.parts.size())},
         {"ms",
          std::to_string(std::lround(ToMilliseconds(now - call.started)))}});
  }
}

void StageCoordinator::KeepResult(Task& task,
                                  size_t item,
                                  const EndpointPtr& maker,
                                  ResultHandle handle) {
  MadeResult& result = task.results[item];
  if (result.maker != nullptr) {
    // The item was made twice; the newer result takes the place of the older.
    DropResult(task, item);
  }
  result.handle = std::move(handle);
  result.maker = maker;
  task.maker_domain = maker->registration.failure_domain;
  const StagePoolDefinition* const pool = FindStagePool(task.task.pool);
  if (task.expiry == nullptr && pool != nullptr) {
    task.expiry = dependencies_.timers.After(
        pool->result_retention, [this, &task] { ExpireResults(task); });
  }
  maker->result_bytes += task.task.result_bytes;
  ++task.done_items;
}

void StageCoordinator::ExpireResults(Task& task) {
  for (MadeResult& result : task.results) {
    if (result.maker != nullptr) {
      result.maker->result_bytes -= task.task.result_bytes;
      result.maker = nullptr;
    }
  }
}

void StageCoordinator::DropResult(Task& task, size_t item) {
  MadeResult& result = task.results[item];
  if (result.maker == nullptr) {
    return;
  }
  result.maker->result_bytes -= task.task.result_bytes;
  dependencies_.caller.Release({result.handle});
  result = MadeResult();
  --task.done_items;
}

void StageCoordinator::RepeatItems(const PoolId& id,
                                   StageTaskId task_id,
                                   const std::vector<int>& items,
                                   bool counts) {
  const auto task = tasks_.find(task_id);
  if (task == tasks_.end() || task->second.is_ended) {
    return;
  }
  const TimePoint now = dependencies_.clock.Now();
  const bool is_allowed =
      !counts || dependencies_.repeats.TakeRepeats(
                     id, static_cast<int>(items.size()), now);
  dependencies_.events.Write(
      is_allowed ? "stage_items_repeated" : "stage_repeat_refused",
      {{"request", task->second.task.request.value()},
       {"pool", id.value()},
       {"stage", std::to_string(task->second.task.stage)},
       {"items", std::to_string(items.size())}});
  if (!is_allowed) {
    EndTask(task_id, StageItemOutcome::kFailed);
    return;
  }
  WaitingTask waiting = Describe(task->second.task, now);
  waiting.items = items;
  waiting.is_started = true;
  AddTask(queues_[id].batch, task_id, waiting);
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
  RemoveTask(queues_[task.task.pool].batch, id);
  entrance_.Finish(id);
  StageTaskResult result;
  result.outcome = outcome;
  result.retry_after = retry_after;
  if (outcome == StageItemOutcome::kDone) {
    for (const MadeResult& made : task.results) {
      result.handles.push_back(made.handle);
    }
    result.maker_domain = task.maker_domain;
    result.engine = ChooseEngine(id, task);
  }
  // May destroy the ticket, and the task with it.
  task.listener->OnStageTaskEnd(task.task.stage, std::move(result));
}

void StageCoordinator::Abandon(StageTaskId id) {
  const auto found = tasks_.find(id);
  if (found == tasks_.end()) {
    return;
  }
  Task& task = found->second;
  const PoolId pool = task.task.pool;
  RemoveTask(queues_[pool].batch, id);
  for (size_t i = 0; i < task.results.size(); ++i) {
    DropResult(task, i);
  }
  // A call in progress goes on: its results take room until they are released,
  // and their handles come with its answer.
  tasks_.erase(found);
  entrance_.Remove(id);
  if (!queues_[pool].batch.waiting.empty()) {
    ScheduleDispatch(pool, Duration::zero());
  }
}

}  // namespace peridotmill
