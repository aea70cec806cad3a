#ifndef PERIDOTMILL_GATEWAY_ADMISSION_STAGE_ENTRANCE_H_
#define PERIDOTMILL_GATEWAY_ADMISSION_STAGE_ENTRANCE_H_

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/admission/entry_queue.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/stages/batch_queue.h"
#include "peridotmill_gateway/stages/stage_task.h"

namespace peridotmill {

// Lets requests into the stages of a coordinator. The first task of a request
// waits here until the pools on its way can take the request; its later tasks
// pass at once.
class StageEntrance {
 public:
  // None of these is called within Add.
  struct Handlers {
    // The task goes into the queue of its pool.
    std::function<void(StageTaskId)> on_start;
    // The task ends without having begun.
    std::function<void(StageTaskId, StageItemOutcome, Duration retry_after)>
        on_refuse;
    // The request has no more tasks here.
    std::function<void(const RequestId&)> on_request_end;
    std::function<PoolRates()> rates;
  };

  StageEntrance(const Clock& clock,
                TimerQueue& timers,
                EventSink& events,
                Handlers handlers);

  // `call_time` is that of a full call to the task's pool.
  void Add(StageTaskId id, const StageTask& task, Duration call_time);
  // The task has ended, and its pool has nothing more to do for it.
  void Finish(StageTaskId id);
  // Nobody needs the task or its results any more. A request ends with the last
  // of its tasks.
  void Remove(StageTaskId id);

  // Whether stages of the task's request are still to come or to end.
  bool HasMoreWork(StageTaskId id) const;

  size_t waiting_count() const { return queue_.waiting.size(); }
  size_t started_count() const { return queue_.started.size(); }

 private:
  // A request as far as it is known here.
  struct Entry {
    RequestId request;
    // Tasks that wait for the request to start.
    std::vector<StageTaskId> waiting;
    int open_tasks = 0;
  };
  struct Member {
    EntryId entry = 0;
    PoolId pool;
    int items = 0;
    bool is_finished = false;
    std::unique_ptr<Timer> refusal;
  };

  EntryId FindOrMakeEntry(const StageTask& task, Duration call_time);
  // True when the request of a new task does not wait.
  bool DecideEntry(StageTaskId id, const StageTask& task, Duration call_time);
  void ScheduleStarts(Duration delay);
  void StartRequests();

  const Clock& clock_;
  TimerQueue& timers_;
  EventSink& events_;
  Handlers handlers_;
  EntryQueue queue_;
  std::map<EntryId, Entry> entries_;
  std::unordered_map<RequestId, EntryId> entry_of_request_;
  std::unordered_map<StageTaskId, Member> members_;
  std::unique_ptr<Timer> start_timer_;
  TimePoint next_start_;
  EntryId next_entry_ = 1;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_ADMISSION_STAGE_ENTRANCE_H_
