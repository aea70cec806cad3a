#include "peridotmill_gateway/admission/stage_entrance.h"

#include <cmath>
#include <string>
#include <utility>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Tasks that end within this time are looked at together.
constexpr Duration kStartDelay = std::chrono::milliseconds(2);
// Time until the next look at requests that wait: a pool gets through a few
// items meanwhile.
constexpr Duration kRetryInterval = std::chrono::milliseconds(30);

std::string Milliseconds(Duration duration) {
  return std::to_string(std::lround(ToMilliseconds(duration)));
}

}  // namespace

StageEntrance::StageEntrance(const Clock& clock,
                             TimerQueue& timers,
                             EventSink& events,
                             Handlers handlers)
    : clock_(clock),
      timers_(timers),
      events_(events),
      handlers_(std::move(handlers)) {}

EntryId StageEntrance::FindOrMakeEntry(const StageTask& task,
                                       Duration call_time) {
  const auto known = entry_of_request_.find(task.request);
  if (known != entry_of_request_.end()) {
    return known->second;
  }
  const EntryId id = next_entry_++;
  entries_[id].request = task.request;
  entry_of_request_[task.request] = id;
  if (task.plan.empty()) {
    // The request started at another coordinator.
    queue_.started[id].push_back(
        {{.pool = task.pool,
          .items = task.item_count,
          .result_bytes = task.item_count * task.result_bytes,
          .end = call_time},
         clock_.Now() + call_time});
  }
  return id;
}

bool StageEntrance::DecideEntry(StageTaskId id,
                                const StageTask& task,
                                Duration call_time) {
  const EntryId entry_id = members_.at(id).entry;
  if (queue_.started.contains(entry_id)) {
    return true;
  }
  entries_.at(entry_id).waiting.push_back(id);
  if (queue_.waiting.contains(entry_id)) {
    return false;
  }
  const TimePoint now = clock_.Now();
  WaitingEntry entry;
  entry.submitted = now;
  entry.start_on_time = task.due - call_time;
  entry.start_of_use = task.deadline - call_time;
  entry.priority = task.priority;
  entry.is_returning = task.is_returning;
  entry.work = task.plan;
  const auto retry_after = DecideRefusal(queue_, handlers_.rates(), entry, now);
  if (!retry_after) {
    queue_.waiting.emplace(entry_id, std::move(entry));
    return false;
  }
  events_.Write("admission_refused",
                {{"request", task.request.value()},
                 {"wait_ms", Milliseconds(*retry_after)},
                 {"on_time_within_ms", Milliseconds(entry.start_on_time - now)},
                 {"priority", std::to_string(entry.priority)},
                 {"returning", entry.is_returning ? "1" : "0"},
                 {"waiting", std::to_string(queue_.waiting.size())},
                 {"started", std::to_string(queue_.started.size())}});
  members_.at(id).refusal =
      timers_.After(Duration::zero(), [this, id, delay = *retry_after] {
        handlers_.on_refuse(id, StageItemOutcome::kRefused, delay);
      });
  return false;
}

void StageEntrance::Add(StageTaskId id,
                        const StageTask& task,
                        Duration call_time) {
  const EntryId entry = FindOrMakeEntry(task, call_time);
  ++entries_.at(entry).open_tasks;
  members_[id] = {.entry = entry, .pool = task.pool, .items = task.item_count};
  if (DecideEntry(id, task, call_time)) {
    handlers_.on_start(id);
  } else {
    ScheduleStarts(Duration::zero());
  }
}

void StageEntrance::Finish(StageTaskId id) {
  const auto member = members_.find(id);
  if (member == members_.end() || member->second.is_finished) {
    return;
  }
  member->second.is_finished = true;
  std::erase(entries_.at(member->second.entry).waiting, id);
  FinishWork(queue_, member->second.entry, member->second.pool,
             member->second.items);
  ScheduleStarts(kStartDelay);
}

void StageEntrance::Remove(StageTaskId id) {
  const auto member = members_.find(id);
  if (member == members_.end()) {
    return;
  }
  const EntryId entry_id = member->second.entry;
  Finish(id);
  members_.erase(id);
  Entry& entry = entries_.at(entry_id);
  if (--entry.open_tasks > 0) {
    return;
  }
  RemoveEntry(queue_, entry_id);
  const auto known = entry_of_request_.find(entry.request);
  if (known != entry_of_request_.end() && known->second == entry_id) {
    entry_of_request_.erase(known);
    handlers_.on_request_end(entry.request);
  }
  entries_.erase(entry_id);
}

bool StageEntrance::HasMoreWork(StageTaskId id) const {
  const auto member = members_.find(id);
  if (member == members_.end()) {
    return false;
  }
  const auto started = queue_.started.find(member->second.entry);
  return started != queue_.started.end() && !started->second.empty();
}

void StageEntrance::ScheduleStarts(Duration delay) {
  if (queue_.waiting.empty()) {
    return;
  }
  const TimePoint at = clock_.Now() + delay;
  if (start_timer_ != nullptr && next_start_ <= at) {
    return;
  }
  next_start_ = at;
  start_timer_ = timers_.After(delay, [this] {
    start_timer_.reset();
    StartRequests();
  });
}

void StageEntrance::StartRequests() {
  const TimePoint now = clock_.Now();
  for (const EntryId id : TakeExpired(queue_, now)) {
    const auto entry = entries_.find(id);
    if (entry == entries_.end()) {
      continue;
    }
    // A copy: the handler removes the tasks.
    for (const StageTaskId task : std::vector(entry->second.waiting)) {
      handlers_.on_refuse(task, StageItemOutcome::kLate, Duration::zero());
    }
  }
  for (const EntryId id : TakeStartable(queue_, handlers_.rates(), now)) {
    for (const StageTaskId task : std::exchange(entries_.at(id).waiting, {})) {
      handlers_.on_start(task);
    }
  }
  ScheduleStarts(kRetryInterval);
}

}  // namespace peridotmill
