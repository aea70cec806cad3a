#include "peridotmill_gateway/admission/stage_admission.h"

#include <cmath>
#include <string>
#include <utility>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/overload/displacement.h"

namespace peridotmill {
namespace {

// Delay after the end of a task before waiting requests are admitted, so that
// tasks that end at about the same time are handled together.
constexpr Duration kAdmissionDelayAfterFinish = std::chrono::milliseconds(2);
// Interval at which waiting requests are reconsidered; a pool finishes a few
// items in this time.
constexpr Duration kAdmissionRetryInterval = std::chrono::milliseconds(30);
// Interval at which waiting requests that will not be served in time are
// refused.
constexpr Duration kDisplacementInterval = std::chrono::milliseconds(100);
// Requests that waited at least this long are logged when they are admitted.
constexpr Duration kLoggedWait = std::chrono::milliseconds(200);

std::string FormatMilliseconds(Duration duration) {
  return std::to_string(std::lround(ToMilliseconds(duration)));
}

}  // namespace

StageAdmission::StageAdmission(const Clock& clock,
                               TimerQueue& timers,
                               EventSink& events,
                               Handlers handlers)
    : clock_(clock),
      timers_(timers),
      events_(events),
      handlers_(std::move(handlers)) {}

AdmissionId StageAdmission::FindOrAddRequest(const StageTask& task,
                                             Duration call_time) {
  const auto found = admission_ids_.find(task.request);
  if (found != admission_ids_.end()) {
    return found->second;
  }
  const AdmissionId id = next_admission_id_++;
  requests_[id].request = task.request;
  requests_[id].submitted = clock_.Now();
  requests_[id].priority = task.priority;
  admission_ids_[task.request] = id;
  if (task.plan.empty()) {
    // An empty plan means that the request started at another coordinator.
    queue_.started[id].push_back(
        {{.pool = task.pool,
          .items = task.item_count,
          .result_bytes = task.item_count * task.result_bytes,
          .end = call_time},
         clock_.Now() + call_time});
  }
  return id;
}

bool StageAdmission::StartOrQueue(StageTaskId id,
                                  const StageTask& task,
                                  Duration call_time) {
  const AdmissionId admission_id = tasks_.at(id).admission;
  if (queue_.started.contains(admission_id)) {
    return true;
  }
  requests_.at(admission_id).waiting.push_back(id);
  if (queue_.waiting.contains(admission_id)) {
    return false;
  }
  const TimePoint now = clock_.Now();
  WaitingRequest request;
  request.submitted = now;
  request.latest_on_time_start = task.due - call_time;
  request.latest_useful_start = task.deadline - call_time;
  request.priority = task.priority;
  request.work = task.plan;
  const PoolThroughputs throughputs = handlers_.throughputs();
  request.pool_seconds = PoolSeconds(request.work, throughputs);
  RecordArrival(queue_.demands, request.priority, request.pool_seconds, now);
  RecordPoolDemand(queue_.pool_demands, request.work, now);
  auto retry_after = DecideRefusal(queue_, throughputs, request, now);
  if (!retry_after) {
    queue_.waiting.emplace(admission_id, std::move(request));
    return false;
  }
  if (DoPrioritiesCompete(queue_.demands)) {
    retry_after =
        ReserveReturn(returns_, request, throughputs, *retry_after, now);
  }
  events_.Write("admission_refused",
                {{"request", task.request.value()},
                 {"wait_ms", FormatMilliseconds(*retry_after)},
                 {"on_time_within_ms",
                  FormatMilliseconds(request.latest_on_time_start - now)},
                 {"priority", std::to_string(request.priority)},
                 {"waiting", std::to_string(queue_.waiting.size())},
                 {"started", std::to_string(queue_.started.size())}});
  tasks_.at(id).refusal =
      timers_.After(Duration::zero(), [this, id, delay = *retry_after] {
        handlers_.on_refuse(id, StageItemOutcome::kRefused, delay);
      });
  return false;
}

void StageAdmission::Add(StageTaskId id,
                         const StageTask& task,
                         Duration call_time) {
  const AdmissionId admission_id = FindOrAddRequest(task, call_time);
  ++requests_.at(admission_id).open_tasks;
  tasks_[id] = {
      .admission = admission_id, .pool = task.pool, .items = task.item_count};
  if (StartOrQueue(id, task, call_time)) {
    handlers_.on_start(id);
  } else {
    ScheduleAdmission(Duration::zero());
  }
}

void StageAdmission::Finish(StageTaskId id) {
  const auto task = tasks_.find(id);
  if (task == tasks_.end() || task->second.is_finished) {
    return;
  }
  task->second.is_finished = true;
  std::erase(requests_.at(task->second.admission).waiting, id);
  FinishWork(queue_, task->second.admission, task->second.pool,
             task->second.items);
  ScheduleAdmission(kAdmissionDelayAfterFinish);
}

void StageAdmission::Remove(StageTaskId id) {
  const auto task = tasks_.find(id);
  if (task == tasks_.end()) {
    return;
  }
  const AdmissionId admission_id = task->second.admission;
  Finish(id);
  tasks_.erase(id);
  RequestState& request = requests_.at(admission_id);
  if (--request.open_tasks > 0) {
    return;
  }
  RemoveRequest(queue_, admission_id);
  const auto found = admission_ids_.find(request.request);
  if (found != admission_ids_.end() && found->second == admission_id) {
    admission_ids_.erase(found);
    handlers_.on_request_end(request.request);
  }
  requests_.erase(admission_id);
}

bool StageAdmission::HasUnfinishedStages(StageTaskId id) const {
  const auto task = tasks_.find(id);
  if (task == tasks_.end()) {
    return false;
  }
  const auto started = queue_.started.find(task->second.admission);
  return started != queue_.started.end() && !started->second.empty();
}

void StageAdmission::ScheduleAdmission(Duration delay) {
  if (queue_.waiting.empty()) {
    return;
  }
  const TimePoint at = clock_.Now() + delay;
  if (admission_timer_ != nullptr && next_admission_ <= at) {
    return;
  }
  next_admission_ = at;
  admission_timer_ = timers_.After(delay, [this] {
    admission_timer_.reset();
    AdmitWaitingRequests();
  });
}

void StageAdmission::RefuseDisplaced(const PoolThroughputs& throughputs,
                                     TimePoint now) {
  if (now < next_displacement_) {
    return;
  }
  next_displacement_ = now + kDisplacementInterval;
  for (const DisplacedRequest& displaced :
       TakeDisplaced(queue_, throughputs, now)) {
    const auto found = requests_.find(displaced.id);
    if (found == requests_.end()) {
      continue;
    }
    ++displaced_count_;
    events_.Write(
        "request_displaced",
        {{"request", found->second.request.value()},
         {"waited_ms", FormatMilliseconds(now - found->second.submitted)},
         {"priority", std::to_string(found->second.priority)},
         {"wait_ms", FormatMilliseconds(displaced.retry_after)}});
    // Iterates over a copy, since the handler removes the tasks.
    for (const StageTaskId task : std::vector(found->second.waiting)) {
      handlers_.on_refuse(task, StageItemOutcome::kRefused,
                          displaced.retry_after);
    }
  }
}

void StageAdmission::AdmitWaitingRequests() {
  const TimePoint now = clock_.Now();
  for (const AdmissionId id : TakeExpired(queue_, now)) {
    const auto request = requests_.find(id);
    if (request == requests_.end()) {
      continue;
    }
    // Iterates over a copy, since the handler removes the tasks.
    for (const StageTaskId task : std::vector(request->second.waiting)) {
      handlers_.on_refuse(task, StageItemOutcome::kLate, Duration::zero());
    }
  }
  const PoolThroughputs throughputs = handlers_.throughputs();
  RefuseDisplaced(throughputs, now);
  for (const AdmissionId id : AdmitRequests(queue_, throughputs, now)) {
    const RequestState& request = requests_.at(id);
    if (now - request.submitted >= kLoggedWait) {
      events_.Write("request_admitted",
                    {{"request", request.request.value()},
                     {"waited_ms", FormatMilliseconds(now - request.submitted)},
                     {"priority", std::to_string(request.priority)},
                     {"waiting", std::to_string(queue_.waiting.size())},
                     {"started", std::to_string(queue_.started.size())}});
    }
    for (const StageTaskId task : std::exchange(requests_.at(id).waiting, {})) {
      handlers_.on_start(task);
    }
  }
  ScheduleAdmission(kAdmissionRetryInterval);
}

}  // namespace peridotmill
