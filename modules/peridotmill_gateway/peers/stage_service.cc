#include "peridotmill_gateway/peers/stage_service.h"

#include <utility>

#include "peridotmill_gateway/peers/stage_message.h"

namespace peridotmill {
namespace {

// Time between reports on unfinished tasks.
constexpr Duration kReportInterval = std::chrono::milliseconds(300);

}  // namespace

// The tasks of one node.
class StageService::Session final : public PeerLinkListener {
 public:
  Session(StageService* service, const LinkMaker& make_link)
      : service_(service) {
    link_ = make_link(this);
  }

 private:
  // One task; tells its owner under the id that the owner chose.
  class RemoteListener final : public StageTaskListener {
   public:
    RemoteListener(Session* session, RemoteTaskId id)
        : session_(session), id_(id) {}
    void Start(StageTask task) {
      ticket_ = session_->service_->worker_.Submit(std::move(task), this);
    }
    bool is_ended() const { return is_ended_; }

   private:
    void OnStageTaskEnd(size_t, StageTaskResult result) override {
      is_ended_ = true;
      // The task stays until its owner needs the results no longer.
      session_->Send(TaskEndedMessage{id_, std::move(result)});
    }

    Session* session_;
    RemoteTaskId id_;
    bool is_ended_ = false;
    std::unique_ptr<OpenStageTask> ticket_;
  };

  void OnLinkFrame(std::string_view frame) override {
    auto message = DecodeStageMessage(frame, service_->clock_.Now());
    if (!message) {
      service_->Release(this);
      return;
    }
    if (auto* const submit = std::get_if<SubmitTaskMessage>(&*message)) {
      auto task = std::make_unique<RemoteListener>(this, submit->id);
      RemoteListener* const raw = task.get();
      tasks_[submit->id] = std::move(task);
      raw->Start(std::move(submit->task));
      Send(TaskAcceptedMessage{submit->id, service_->suspected_domains_()});
      ReportLater();
    } else if (const auto* const cancel =
                   std::get_if<CancelTaskMessage>(&*message)) {
      tasks_.erase(cancel->id);
    }
  }
  void OnLinkLost() override { service_->Release(this); }

  // Reports on one unfinished task now and then, which tells the owner that
  // this node is alive.
  void ReportLater() {
    if (report_timer_ != nullptr) {
      return;
    }
    report_timer_ = service_->timers_.After(kReportInterval, [this] {
      report_timer_.reset();
      for (const auto& [id, task] : tasks_) {
        if (!task->is_ended()) {
          Send(TaskAcceptedMessage{id, service_->suspected_domains_()});
          ReportLater();
          return;
        }
      }
    });
  }

  void Send(const StageMessage& message) {
    link_->Send(EncodeStageMessage(message, service_->clock_.Now()));
  }

  StageService* service_;
  std::map<RemoteTaskId, std::unique_ptr<RemoteListener>> tasks_;
  std::unique_ptr<PeerLink> link_;
  std::unique_ptr<Timer> report_timer_;
};

StageService::StageService(
    StageWorker& worker,
    const Clock& clock,
    TimerQueue& timers,
    std::function<std::vector<FailureDomainId>()> suspected_domains)
    : worker_(worker),
      clock_(clock),
      timers_(timers),
      suspected_domains_(std::move(suspected_domains)) {}

StageService::~StageService() = default;

void StageService::Accept(const LinkMaker& make_link) {
  auto session = std::make_unique<Session>(this, make_link);
  Session* const raw = session.get();
  sessions_.emplace(raw, std::move(session));
}

void StageService::CloseAllSessions() {
  sessions_.clear();
}

void StageService::Release(Session* session) {
  sessions_.erase(session);
}

}  // namespace peridotmill
