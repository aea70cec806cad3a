#ifndef PERIDOTMILL_GATEWAY_ADMISSION_STAGE_ADMISSION_H_
#define PERIDOTMILL_GATEWAY_ADMISSION_STAGE_ADMISSION_H_

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/admission/admission_queue.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/overload/return_schedule.h"
#include "peridotmill_gateway/stages/batch_queue.h"
#include "peridotmill_gateway/stages/stage_task.h"

namespace peridotmill {

// Admits requests to the stage pools of a coordinator. The first task of a
// request waits here until the pools that the request uses have capacity for
// it; later tasks of the request start at once.
class StageAdmission {
 public:
  struct Handlers {
    // The task may enter the queue of its pool. Called within Add if the
    // request of the task has started already.
    std::function<void(StageTaskId)> on_start;
    // The task ends without having started. Never called within Add.
    std::function<void(StageTaskId, StageItemOutcome, Duration retry_after)>
        on_refuse;
    // The request has no more tasks here.
    std::function<void(const RequestId&)> on_request_end;
    // Returns the current throughput of each pool. May be called within Add.
    std::function<PoolThroughputs()> throughputs;
  };

  StageAdmission(const Clock& clock,
                 TimerQueue& timers,
                 EventSink& events,
                 Handlers handlers);

  // Starts, queues or refuses a task. `call_time` is the predicted time of a
  // full call to the task's pool.
  void Add(StageTaskId id, const StageTask& task, Duration call_time);
  // Records that the task has ended and its pool has nothing more to do for it.
  void Finish(StageTaskId id);
  // Removes a task that nobody needs any more, nor its results. A request ends
  // when its last task is removed.
  void Remove(StageTaskId id);

  // Returns whether stages of the task's request have not started or ended yet.
  bool HasUnfinishedStages(StageTaskId id) const;

  // Sets whether routes of several priorities share stage pools.
  void set_do_routes_compete(bool value) {
    queue_.demands.do_routes_compete = value;
  }

  size_t waiting_count() const { return queue_.waiting.size(); }
  size_t started_count() const { return queue_.started.size(); }
  // Returns how many waiting requests have been refused in favour of others.
  int64_t displaced_count() const { return displaced_count_; }

 private:
  // A request with tasks at this coordinator.
  struct RequestState {
    RequestId request;
    TimePoint submitted;
    int priority = 0;
    // Tasks that wait for the request to start.
    std::vector<StageTaskId> waiting;
    int open_tasks = 0;
  };
  // A task that has not been removed yet.
  struct TaskState {
    AdmissionId admission = 0;
    PoolId pool;
    int items = 0;
    bool is_finished = false;
    std::unique_ptr<Timer> refusal;
  };

  AdmissionId FindOrAddRequest(const StageTask& task, Duration call_time);
  // Returns true if the request of a new task has started; otherwise the task
  // waits, or its refusal is scheduled.
  bool StartOrQueue(StageTaskId id, const StageTask& task, Duration call_time);
  void ScheduleAdmission(Duration delay);
  void AdmitWaitingRequests();
  // Refuses the waiting requests that have to yield to others for too long.
  void RefuseDisplaced(const PoolThroughputs& throughputs, TimePoint now);

  const Clock& clock_;
  TimerQueue& timers_;
  EventSink& events_;
  Handlers handlers_;
  AdmissionQueue queue_;
  ReturnSchedule returns_;
  int64_t displaced_count_ = 0;
  TimePoint next_displacement_;
  std::map<AdmissionId, RequestState> requests_;
  std::unordered_map<RequestId, AdmissionId> admission_ids_;
  std::unordered_map<StageTaskId, TaskState> tasks_;
  std::unique_ptr<Timer> admission_timer_;
  TimePoint next_admission_;
  AdmissionId next_admission_id_ = 1;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_ADMISSION_STAGE_ADMISSION_H_
