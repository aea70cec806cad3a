#include "peridotmill_gateway/peers/stage_service.h"

#include <algorithm>
#include <utility>

#include "peridotmill_gateway/peers/stage_message.h"

namespace peridotmill {
namespace {

// Time between two heartbeats of a session with unfinished tasks.
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(300);

}  // namespace

// The link to one other node and the tasks that this node has submitted.
class StageService::Session final : public PeerLinkListener {
 public:
  Session(StageService* service, const LinkMaker& make_link)
      : service_(service) {
    link_ = make_link(this);
    if (service_->quarantine_ != nullptr) {
      const CrashNews news = service_->quarantine_->Snapshot();
      if (!news.empty()) {
        Send(news);
      }
    }
  }

  void Send(const StageMessage& message) {
    link_->Send(EncodeStageMessage(message, service_->clock_.Now()));
  }

  size_t unfinished_task_count() const {
    return static_cast<size_t>(std::count_if(
        tasks_.begin(), tasks_.end(),
        [](const auto& entry) { return !entry.second->is_ended(); }));
  }

 private:
  // Runs one task and sends its result under the id that the other node chose.
  class SessionTask final : public StageTaskListener {
   public:
    SessionTask(Session* session, RemoteTaskId id)
        : session_(session), id_(id) {}
    void Start(StageTask task) {
      handle_ = session_->service_->executor_.Submit(std::move(task), this);
    }
    bool is_ended() const { return is_ended_; }

   private:
    void OnStageTaskEnd(size_t, StageTaskResult result) override {
      is_ended_ = true;
      // The task is kept until the other node cancels it, which releases its
      // results.
      session_->Send(TaskEndedMessage{id_, std::move(result)});
    }

    Session* session_;
    RemoteTaskId id_;
    bool is_ended_ = false;
    std::unique_ptr<StageTaskHandle> handle_;
  };

  void OnLinkFrame(std::string_view frame) override {
    auto message = DecodeStageMessage(frame, service_->clock_.Now());
    if (!message) {
      service_->CloseSession(this);
      return;
    }
    if (auto* const submit = std::get_if<SubmitTaskMessage>(&*message)) {
      auto task = std::make_unique<SessionTask>(this, submit->id);
      SessionTask* const started = task.get();
      tasks_[submit->id] = std::move(task);
      started->Start(std::move(submit->task));
      Send(TaskAcceptedMessage{submit->id, service_->suspected_domains_()});
      ScheduleHeartbeat();
    } else if (const auto* const cancel =
                   std::get_if<CancelTaskMessage>(&*message)) {
      tasks_.erase(cancel->id);
    } else if (const auto* const news = std::get_if<CrashNews>(&*message);
               news != nullptr && service_->quarantine_ != nullptr) {
      service_->quarantine_->Apply(*news, NewsSource::kCoordinatedNode);
    } else if (const auto* const request =
                   std::get_if<PermitRequest>(&*message);
               request != nullptr && service_->permits_ != nullptr) {
      Send(GrantPermits(*service_->permits_, *request, service_->clock_.Now()));
    }
  }
  void OnLinkLost() override { service_->CloseSession(this); }

  // Schedules a heartbeat: a repeated TaskAccepted message for one unfinished
  // task, from which the other node learns that this one is still responsive.
  void ScheduleHeartbeat() {
    if (heartbeat_timer_ != nullptr) {
      return;
    }
    heartbeat_timer_ = service_->timers_.After(kHeartbeatInterval, [this] {
      heartbeat_timer_.reset();
      for (const auto& [id, task] : tasks_) {
        if (!task->is_ended()) {
          Send(TaskAcceptedMessage{id, service_->suspected_domains_()});
          ScheduleHeartbeat();
          return;
        }
      }
    });
  }

  StageService* service_;
  std::map<RemoteTaskId, std::unique_ptr<SessionTask>> tasks_;
  std::unique_ptr<PeerLink> link_;
  std::unique_ptr<Timer> heartbeat_timer_;
};

StageService::StageService(
    StageTaskExecutor& executor,
    const Clock& clock,
    TimerQueue& timers,
    std::function<std::vector<FailureDomainId>()> suspected_domains,
    CrashQuarantine* quarantine,
    PermitBuckets* permits)
    : executor_(executor),
      clock_(clock),
      timers_(timers),
      suspected_domains_(std::move(suspected_domains)),
      quarantine_(quarantine),
      permits_(permits) {
  if (quarantine_ != nullptr) {
    quarantine_->set_on_news([this](const CrashNews& news) {
      for (const auto& [key, session] : sessions_) {
        session->Send(news);
      }
    });
  }
}

StageService::~StageService() {
  if (quarantine_ != nullptr) {
    quarantine_->set_on_news(nullptr);
  }
}

void StageService::Accept(const LinkMaker& make_link) {
  auto session = std::make_unique<Session>(this, make_link);
  Session* const started = session.get();
  sessions_.emplace(started, std::move(session));
}

size_t StageService::unfinished_task_count() const {
  size_t count = 0;
  for (const auto& [key, session] : sessions_) {
    count += session->unfinished_task_count();
  }
  return count;
}

void StageService::CloseAllSessions() {
  sessions_.clear();
}

void StageService::CloseSession(Session* session) {
  sessions_.erase(session);
}

}  // namespace peridotmill
