#ifndef PERIDOTMILL_GATEWAY_PEERS_STAGE_RELAY_H_
#define PERIDOTMILL_GATEWAY_PEERS_STAGE_RELAY_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/peers/node_directory.h"
#include "peridotmill_gateway/peers/peer_link.h"
#include "peridotmill_gateway/peers/stage_message.h"
#include "peridotmill_gateway/quarantine/crash_quarantine.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"
#include "peridotmill_gateway/retries/pool_retry_budget.h"
#include "peridotmill_gateway/stages/stage_task.h"

namespace peridotmill {

// Submits stage tasks to the node that coordinates their group of pools, so
// that the tasks of all nodes can be batched into common calls. The coordinator
// is not elected: all nodes compute the same order of candidates and skip nodes
// that do not respond. If two nodes coordinate a group at the same time, calls
// are batched less well, but results stay correct.
class StageRelay final : public StageTaskExecutor {
 public:
  // If a coordinator sends nothing for longer than this while it has tasks, the
  // tasks are reassigned to another node.
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(900);

  struct Dependencies {
    const Clock& clock;
    TimerQueue& timers;
    PeerDialer& dialer;
    // Runs the tasks that this node coordinates.
    StageTaskExecutor& local_executor;
    const NodeDirectory& nodes;
    PoolRetryBudget& retry_budget;
    // Receives hints about failure domains that no longer respond to a
    // coordinator.
    EndpointRegistry& endpoints;
    EventSink& events;
    NodeId self;
    NodeRecord self_record;
    // Exchanged with the coordinators; may be null.
    CrashQuarantine* quarantine = nullptr;
  };

  explicit StageRelay(const Dependencies& dependencies);
  ~StageRelay() override;

  std::unique_ptr<StageTaskHandle> Submit(StageTask task,
                                          StageTaskListener* listener) override;

  // Keeps a link to the coordinator of the configuration's news group from now
  // on, so that nodes without tasks exchange news about crashes too.
  void JoinNewsGroup(PoolId group);

  // Restarts the timeout of all coordinators after this process was paused,
  // because frames that arrived during the pause have not been read yet.
  void NotePause();

  // Tasks that were taken from an unresponsive or lost coordinator.
  uint64_t reassigned_task_count() const { return reassigned_task_count_; }

 private:
  class Link;
  class TaskHandle;

  // A task that was submitted to another node. If no other node is left, the
  // task runs on this one.
  struct RemoteTask {
    StageTask task;
    StageTaskListener* listener = nullptr;
    NodeId coordinator;
    // Set if the task runs on this node.
    std::unique_ptr<StageTaskHandle> local_task;
    // The listener has been called; the coordinator still keeps the results.
    bool is_ended = false;
    // Runs until the coordinator accepts the task.
    std::unique_ptr<Timer> timer;
  };

  // Backoff of a node that did not respond.
  struct Backoff {
    TimePoint until;
    int failures_in_row = 0;
  };

  // Returns the first candidate that is neither in backoff nor in a suspected
  // failure domain, or this node if there is none.
  NodeId ChooseCoordinator(const PoolId& group) const;
  // Returns whether `node` is in another failure domain that does not respond,
  // so that a task sent to it would time out.
  bool IsInSuspectedDomain(const NodeId& node, TimePoint now) const;
  // Opens the link to the coordinator of the news group, and checks again
  // later whether it is still there.
  void KeepNewsLink();
  // Returns the link to a node, opened if necessary.
  Link& LinkTo(const NodeId& node, const std::string& address);
  // Sends the task to a coordinator, or starts it on this node.
  void Assign(RemoteTaskId id);
  // Sends a new coordinator all that this node knows about requests and parts
  // that crash endpoints, since the one before may be lost.
  void SendCrashNews(Link& link);
  void OnFrame(const NodeId& node, std::string_view frame);
  void OnAccepted(const TaskAcceptedMessage& message);
  void OnEnded(TaskEndedMessage message);
  // Returns whether tasks that were sent to `node` have not ended.
  bool HasTasksAt(const NodeId& node) const;
  // Closes the link to `lost`, puts that node into backoff and reassigns its
  // tasks. The id is passed by value, since the caller's may be a member of the
  // link that is destroyed here.
  // NOLINTNEXTLINE(performance-unnecessary-value-param)
  void DropLink(NodeId lost, std::string_view reason);
  void CancelTask(RemoteTaskId id);

  Dependencies dependencies_;
  std::map<NodeId, std::unique_ptr<Link>> links_;
  std::map<RemoteTaskId, RemoteTask> tasks_;
  std::map<NodeId, Backoff> backoffs_;
  RemoteTaskId next_id_ = 1;
  uint64_t reassigned_task_count_ = 0;
  std::optional<PoolId> news_group_;
  std::unique_ptr<Timer> news_link_timer_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PEERS_STAGE_RELAY_H_
