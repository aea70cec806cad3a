#include "peridotmill_gateway/peers/stage_relay.h"

#include <algorithm>
#include <vector>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// A coordinator that has not accepted a task after this time is skipped. Nodes
// accept tasks within a few milliseconds, and well within this time even when
// they run five times slower.
constexpr Duration kAcceptTimeout = std::chrono::milliseconds(250);
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(200);
// A lost link is replaced well within the time in which news has to arrive.
constexpr Duration kNewsLinkCheckInterval = std::chrono::milliseconds(500);
// Time for which a node that did not respond gets no further task. The time is
// doubled with each further failure, at most three times, which is about the
// duration of a partition.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(1000);
constexpr int kMaxBackoffDoublings = 3;

}  // namespace

class StageRelay::Link final : public PeerLinkListener {
 public:
  Link(StageRelay* owner, NodeId node, const std::string& address)
      : owner_(owner), node_(std::move(node)) {
    link_ = owner->dependencies_.dialer.Dial(address, this);
  }

  void RecordFrame(TimePoint now) { last_frame_at_ = now; }
  // Starts a periodic check that drops the link if no frame has come for
  // kSilenceTimeout while tasks are unfinished.
  void StartTimeoutCheck() {
    if (timer_ != nullptr) {
      return;
    }
    timer_ = owner_->dependencies_.timers.After(kTimeoutCheckInterval, [this] {
      timer_.reset();
      if (!owner_->HasTasksAt(node_)) {
        return;
      }
      if (owner_->dependencies_.clock.Now() - last_frame_at_ >
          kSilenceTimeout) {
        owner_->DropLink(node_, "silent");
        return;
      }
      StartTimeoutCheck();
    });
  }

  void Send(const StageMessage& message, TimePoint now) {
    link_->Send(EncodeStageMessage(message, now));
  }

 private:
  void OnLinkFrame(std::string_view frame) override {
    owner_->OnFrame(node_, frame);
  }
  void OnLinkLost() override { owner_->DropLink(node_, "lost"); }

  StageRelay* owner_;
  NodeId node_;
  std::unique_ptr<PeerLink> link_;
  TimePoint last_frame_at_;
  std::unique_ptr<Timer> timer_;
};

class StageRelay::TaskHandle final : public StageTaskHandle {
 public:
  TaskHandle(StageRelay* owner, RemoteTaskId id) : owner_(owner), id_(id) {}
  ~TaskHandle() override { owner_->CancelTask(id_); }

 private:
  StageRelay* owner_;
  RemoteTaskId id_;
};

StageRelay::StageRelay(const Dependencies& dependencies)
    : dependencies_(dependencies) {
  if (dependencies_.quarantine != nullptr) {
    dependencies_.quarantine->set_on_observed([this](const CrashNews& news) {
      for (const auto& [node, link] : links_) {
        link->Send(news, dependencies_.clock.Now());
      }
    });
  }
}

StageRelay::~StageRelay() {
  if (dependencies_.quarantine != nullptr) {
    dependencies_.quarantine->set_on_observed(nullptr);
  }
}

NodeId StageRelay::ChooseCoordinator(const PoolId& group) const {
  const TimePoint now = dependencies_.clock.Now();
  for (const NodeId& node : dependencies_.nodes.CoordinatorOrder(
           group, dependencies_.self, dependencies_.self_record)) {
    const auto backoff = backoffs_.find(node);
    const bool is_in_backoff =
        backoff != backoffs_.end() && backoff->second.until > now;
    if (!is_in_backoff && !IsInSuspectedDomain(node, now)) {
      return node;
    }
  }
  return dependencies_.self;
}

void StageRelay::NotePause() {
  for (const auto& [node, link] : links_) {
    link->RecordFrame(dependencies_.clock.Now());
  }
}

bool StageRelay::IsInSuspectedDomain(const NodeId& node, TimePoint now) const {
  const NodeRecord* const record = dependencies_.nodes.Find(node);
  return record != nullptr && node != dependencies_.self &&
         record->failure_domain != dependencies_.self_record.failure_domain &&
         IsDomainSuspected(
             dependencies_.endpoints.Domain(record->failure_domain), now);
}

std::unique_ptr<StageTaskHandle> StageRelay::Submit(
    StageTask task,
    StageTaskListener* listener) {
  if (ChooseCoordinator(task.group) == dependencies_.self) {
    return dependencies_.local_executor.Submit(std::move(task), listener);
  }
  const RemoteTaskId id = next_id_++;
  RemoteTask& entry = tasks_[id];
  entry.task = std::move(task);
  entry.listener = listener;
  dependencies_.retry_budget.RecordFirstCall(
      entry.task.pool, dependencies_.clock.Now(), kSubmitterFirstCallShare);
  Assign(id);
  return std::make_unique<TaskHandle>(this, id);
}

void StageRelay::Assign(RemoteTaskId id) {
  RemoteTask& entry = tasks_.at(id);
  entry.coordinator = ChooseCoordinator(entry.task.group);
  dependencies_.events.Write("task_assigned",
                             {{"request", entry.task.request.value()},
                              {"stage", std::to_string(entry.task.stage)},
                              {"items", std::to_string(entry.task.item_count)},
                              {"coordinator", entry.coordinator.value()}});
  const NodeRecord* const record = dependencies_.nodes.Find(entry.coordinator);
  if (entry.coordinator == dependencies_.self || record == nullptr) {
    entry.coordinator = dependencies_.self;
    entry.timer.reset();
    entry.local_task =
        dependencies_.local_executor.Submit(entry.task, entry.listener);
    return;
  }
  const NodeId node = entry.coordinator;
  LinkTo(node, record->peer_address)
      .Send(SubmitTaskMessage{id, entry.task}, dependencies_.clock.Now());
  entry.timer = dependencies_.timers.After(
      kAcceptTimeout, [this, node] { DropLink(node, "not accepted in time"); });
}

void StageRelay::JoinNewsGroup(PoolId group) {
  news_group_ = std::move(group);
  if (news_link_timer_ == nullptr) {
    KeepNewsLink();
  }
}

void StageRelay::KeepNewsLink() {
  news_link_timer_ = dependencies_.timers.After(kNewsLinkCheckInterval,
                                                [this] { KeepNewsLink(); });
  const NodeId node = ChooseCoordinator(*news_group_);
  const NodeRecord* const record = dependencies_.nodes.Find(node);
  if (node != dependencies_.self && record != nullptr) {
    LinkTo(node, record->peer_address);
  }
}

StageRelay::Link& StageRelay::LinkTo(const NodeId& node,
                                     const std::string& address) {
  std::unique_ptr<Link>& link = links_[node];
  if (link == nullptr) {
    link = std::make_unique<Link>(this, node, address);
    SendCrashNews(*link);
  }
  return *link;
}

void StageRelay::SendCrashNews(Link& link) {
  if (dependencies_.quarantine == nullptr) {
    return;
  }
  const CrashNews news = dependencies_.quarantine->Snapshot();
  if (!news.empty()) {
    link.Send(news, dependencies_.clock.Now());
  }
}

void StageRelay::OnFrame(const NodeId& node, std::string_view frame) {
  const TimePoint now = dependencies_.clock.Now();
  if (const auto link = links_.find(node); link != links_.end()) {
    link->second->RecordFrame(now);
  }
  auto message = DecodeStageMessage(frame, now);
  if (!message) {
    DropLink(node, "malformed frame");
    return;
  }
  if (const auto* const accepted =
          std::get_if<TaskAcceptedMessage>(&*message)) {
    OnAccepted(*accepted);
  } else if (auto* const ended = std::get_if<TaskEndedMessage>(&*message)) {
    OnEnded(std::move(*ended));
  } else if (const auto* const news = std::get_if<CrashNews>(&*message);
             news != nullptr && dependencies_.quarantine != nullptr) {
    dependencies_.quarantine->Apply(*news, NewsSource::kCoordinator);
  }
}

void StageRelay::OnAccepted(const TaskAcceptedMessage& message) {
  for (const FailureDomainId& domain : message.suspected_domains) {
    if (domain != dependencies_.self_record.failure_domain) {
      RecordPeerSuspicion(dependencies_.endpoints.Domain(domain),
                          dependencies_.clock.Now());
    }
  }
  const auto found = tasks_.find(message.id);
  if (found == tasks_.end() || found->second.local_task != nullptr ||
      found->second.is_ended) {
    return;
  }
  RemoteTask& entry = found->second;
  backoffs_.erase(entry.coordinator);
  entry.timer.reset();
  links_.at(entry.coordinator)->StartTimeoutCheck();
}

bool StageRelay::HasTasksAt(const NodeId& node) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
    return entry.second.local_task == nullptr && !entry.second.is_ended &&
           entry.second.coordinator == node;
  });
}

void StageRelay::OnEnded(TaskEndedMessage message) {
  const auto found = tasks_.find(message.id);
  if (found == tasks_.end() || found->second.local_task != nullptr ||
      found->second.is_ended) {
    return;
  }
  RemoteTask& entry = found->second;
  entry.timer.reset();
  entry.is_ended = true;
  const bool has_all_results = message.result.handles.size() ==
                               static_cast<size_t>(entry.task.item_count);
  if (message.result.outcome == StageItemOutcome::kDone && !has_all_results) {
    message.result.outcome = StageItemOutcome::kFailed;
  }
  // The listener may destroy the task's handle, and with it `entry`.
  entry.listener->OnStageTaskEnd(entry.task.stage, std::move(message.result));
}

// NOLINTNEXTLINE(performance-unnecessary-value-param)
void StageRelay::DropLink(NodeId lost, std::string_view reason) {
  const auto link = links_.find(lost);
  if (link == links_.end()) {
    return;
  }
  links_.erase(link);
  const TimePoint now = dependencies_.clock.Now();
  Backoff& backoff = backoffs_[lost];
  backoff.until =
      now + kInitialBackoff *
                (1 << std::min(backoff.failures_in_row, kMaxBackoffDoublings));
  ++backoff.failures_in_row;
  std::vector<RemoteTaskId> unfinished_tasks;
  for (const auto& [id, entry] : tasks_) {
    if (entry.local_task == nullptr && !entry.is_ended &&
        entry.coordinator == lost) {
      unfinished_tasks.push_back(id);
    }
  }
  dependencies_.events.Write(
      "peer_lost", {{"peer", lost.value()},
                    {"reason", std::string(reason)},
                    {"tasks", std::to_string(unfinished_tasks.size())}});
  for (const RemoteTaskId id : unfinished_tasks) {
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) {
      continue;
    }
    ++reassigned_task_count_;
    // The lost coordinator may already have sent the items to an endpoint, so
    // the reassignment is charged to the retry budget.
    if (dependencies_.retry_budget.TryTakeRetries(found->second.task.pool, 1,
                                                  now)) {
      Assign(id);
      continue;
    }
    RemoteTask& entry = found->second;
    entry.timer.reset();
    entry.is_ended = true;
    entry.listener->OnStageTaskEnd(entry.task.stage, StageTaskResult());
  }
}

void StageRelay::CancelTask(RemoteTaskId id) {
  const auto found = tasks_.find(id);
  if (found == tasks_.end()) {
    return;
  }
  const RemoteTask entry = std::move(found->second);
  tasks_.erase(found);
  const auto link = links_.find(entry.coordinator);
  if (entry.local_task == nullptr && link != links_.end()) {
    link->second->Send(CancelTaskMessage{id}, dependencies_.clock.Now());
  }
}

}  // namespace peridotmill
