#ifndef PERIDOTMILL_GATEWAY_PEERS_STAGE_RELAY_H_
#define PERIDOTMILL_GATEWAY_PEERS_STAGE_RELAY_H_

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/peers/node_directory.h"
#include "peridotmill_gateway/peers/peer_link.h"
#include "peridotmill_gateway/peers/stage_message.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"
#include "peridotmill_gateway/retries/pool_retry_budget.h"
#include "peridotmill_gateway/stages/stage_task.h"

namespace peridotmill {

// Hands stage tasks to the node that coordinates their group of pools, so that
// the tasks of all nodes share calls. Nobody elects that node: all
// nodes compute the same order of candidates, and one that does not answer is
// passed over. Two coordinators at a time cost shared calls, not correctness.
class StageRelay final : public StageWorker {
 public:
  // A coordinator that is silent for longer is given up, and its tasks go to
  // another one.
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(900);

  struct Dependencies {
    const Clock& clock;
    TimerQueue& timers;
    PeerDialer& dialer;
    // Works on the tasks that this node coordinates.
    StageWorker& local;
    const NodeDirectory& nodes;
    PoolRetryBudget& repeats;
    // Told of failure domains that answer a coordinator no more.
    EndpointRegistry& endpoints;
    EventSink& events;
    NodeId self;
    NodeRecord self_record;
  };

  explicit StageRelay(const Dependencies& dependencies);
  ~StageRelay() override;

  std::unique_ptr<OpenStageTask> Submit(StageTask task,
                                        StageTaskListener* listener) override;

  // This process was paused; what coordinators sent meanwhile is still to be
  // read.
  void NotePause();

  uint64_t reassigned_task_count() const { return reassigned_; }

 private:
  class Link;
  class Ticket;

  // A task that another node works on, or that fell back to this one.
  struct RemoteTask {
    StageTask task;
    StageTaskListener* listener = nullptr;
    NodeId coordinator;
    std::unique_ptr<OpenStageTask> local;
    // The listener has been told; the coordinator keeps the results.
    bool is_ended = false;
    // Runs until the coordinator accepts the task.
    std::unique_ptr<Timer> timer;
  };

  // A node that did not answer.
  struct Exclusion {
    TimePoint until;
    int failures_in_row = 0;
  };

  NodeId ChooseCoordinator(const PoolId& group) const;
  // A task sent there would wait for an answer that does not come.
  bool IsBehindPartition(const NodeId& node, TimePoint now) const;
  void Assign(RemoteTaskId id);
  void OnFrame(const NodeId& node, std::string_view frame);
  void OnAccepted(const TaskAcceptedMessage& message);
  void OnEnded(TaskEndedMessage message);
  // Whether tasks at this node have not ended.
  bool HasTasksAt(const NodeId& node) const;
  // Closes the link and gives its tasks to other nodes.
  // The name is a copy, since the link's own goes with the link.
  // NOLINTNEXTLINE(performance-unnecessary-value-param)
  void DropLink(NodeId lost, std::string_view reason);
  void Abandon(RemoteTaskId id);

  Dependencies dependencies_;
  std::map<NodeId, std::unique_ptr<Link>> links_;
  std::map<RemoteTaskId, RemoteTask> tasks_;
  std::map<NodeId, Exclusion> exclusions_;
  RemoteTaskId next_id_ = 1;
  uint64_t reassigned_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PEERS_STAGE_RELAY_H_
