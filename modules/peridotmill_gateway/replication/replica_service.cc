#include "peridotmill_gateway/replication/replica_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "peridotmill_gateway/replication/replica_message.h"

namespace peridotmill {
namespace {

// Time between reports to subscribers, which also tell that this node is alive.
constexpr Duration kReportInterval = std::chrono::milliseconds(400);
// Bytes of values in one frame of a snapshot; one value may be larger.
constexpr size_t kSnapshotFrameBytes = size_t{64} << 10;
// Links that other nodes may have open here at a time.
constexpr size_t kMaxSessions = 512;

std::vector<std::string> EncodeSnapshot(const StoreReplica& replica,
                                        ReplicaPart part) {
  std::vector<std::string> frames;
  SnapshotMessage message = {.part = part,
                             .revision = replica.image(part).revision,
                             .is_after_outage = replica.is_after_outage(part),
                             .is_last = false};
  size_t bytes = 0;
  for (const auto& [key, entry] : replica.image(part).entries) {
    if (bytes + entry.value.size() > kSnapshotFrameBytes &&
        !message.entries.empty()) {
      frames.push_back(EncodeReplicaMessage(message));
      message.entries.clear();
      bytes = 0;
    }
    bytes += entry.value.size();
    message.entries.push_back(entry);
  }
  message.is_last = true;
  frames.push_back(EncodeReplicaMessage(message));
  return frames;
}

}  // namespace

// The link to one node.
class ReplicaService::Session final : public PeerLinkListener {
 public:
  Session(ReplicaService* service, const LinkMaker& make_link)
      : service_(service) {
    link_ = make_link(this);
  }

  bool is_subscribed() const { return is_subscribed_; }
  void Send(std::string_view frame) { link_->Send(frame); }

 private:
  void OnLinkFrame(std::string_view frame) override {
    const auto message = DecodeReplicaMessage(frame);
    const auto* const subscribe =
        message ? std::get_if<SubscribeMessage>(&*message) : nullptr;
    if (subscribe == nullptr) {
      service_->OnMalformed(this);
      return;
    }
    is_subscribed_ = true;
    SendMissing(ReplicaPart::kConfiguration, subscribe->revisions);
    SendMissing(ReplicaPart::kRegistrations, subscribe->revisions);
    SendMissing(ReplicaPart::kNodes, subscribe->revisions);
    link_->Send(service_->FreshnessFrame());
    service_->ReportFreshness();
  }
  void OnLinkLost() override { service_->Release(this); }

  void SendMissing(ReplicaPart part, const ReplicaRevisions& known) {
    const StoreReplica& replica = service_->replica_;
    const int64_t revision = known[static_cast<size_t>(part)];
    if (replica.image(part).changed_revision <= revision) {
      return;
    }
    if (auto changes = ChangesSince(replica.image(part), revision)) {
      link_->Send(EncodeReplicaMessage(
          ChangesMessage{.part = part, .changes = *std::move(changes)}));
      return;
    }
    for (const std::string& frame : service_->SnapshotFrames(part)) {
      link_->Send(frame);
    }
  }

  ReplicaService* service_;
  std::unique_ptr<PeerLink> link_;
  bool is_subscribed_ = false;
};

ReplicaService::ReplicaService(StoreReplica& replica,
                               const Clock& clock,
                               TimerQueue& timers,
                               EventSink& log)
    : replica_(replica), clock_(clock), timers_(timers), log_(log) {
  replica_.AddObserver(this);
}

ReplicaService::~ReplicaService() {
  replica_.RemoveObserver(this);
}

void ReplicaService::Accept(const LinkMaker& make_link) {
  auto session = std::make_unique<Session>(this, make_link);
  if (sessions_.size() >= kMaxSessions) {
    log_.Write("replica_link_refused",
               {{"sessions", std::to_string(sessions_.size())}});
    return;
  }
  Session* const raw = session.get();
  sessions_.emplace(raw, std::move(session));
}

size_t ReplicaService::subscriber_count() const {
  return static_cast<size_t>(std::count_if(
      sessions_.begin(), sessions_.end(),
      [](const auto& entry) { return entry.second->is_subscribed(); }));
}

const std::vector<std::string>& ReplicaService::SnapshotFrames(
    ReplicaPart part) {
  CachedSnapshot& cached = snapshots_[static_cast<size_t>(part)];
  const int64_t changed = replica_.image(part).changed_revision;
  const bool is_after_outage = replica_.is_after_outage(part);
  if (cached.changed_revision != changed ||
      cached.is_after_outage != is_after_outage) {
    cached = {.changed_revision = changed,
              .is_after_outage = is_after_outage,
              .frames = EncodeSnapshot(replica_, part)};
  }
  return cached.frames;
}

void ReplicaService::OnReplicaSnapshot(ReplicaPart part) {
  if (subscriber_count() == 0) {
    return;
  }
  for (const std::string& frame : SnapshotFrames(part)) {
    SendToSubscribers(frame);
  }
}

void ReplicaService::OnReplicaChanges(const ChangesMessage& message) {
  // Out of date, and large.
  snapshots_[static_cast<size_t>(message.part)] = CachedSnapshot();
  if (subscriber_count() > 0) {
    SendToSubscribers(EncodeReplicaMessage(message));
  }
}

void ReplicaService::SendToSubscribers(const std::string& frame) {
  for (const auto& [raw, session] : sessions_) {
    if (session->is_subscribed()) {
      session->Send(frame);
    }
  }
}

void ReplicaService::OnMalformed(Session* session) {
  ++malformed_;
  log_.Write("replica_frame_malformed",
             {{"total", std::to_string(malformed_)}});
  Release(session);
}

void ReplicaService::Release(Session* session) {
  sessions_.erase(session);
}

void ReplicaService::ReportFreshness() {
  if (report_timer_ != nullptr) {
    return;
  }
  report_timer_ = timers_.After(kReportInterval, [this] {
    report_timer_.reset();
    if (subscriber_count() == 0) {
      return;
    }
    SendToSubscribers(FreshnessFrame());
    ReportFreshness();
  });
}

std::string ReplicaService::FreshnessFrame() const {
  FreshnessMessage message = {.revisions = replica_.changed_revisions()};
  if (const auto contact = replica_.last_contact()) {
    message.store_contact_age = clock_.Now() - *contact;
  }
  return EncodeReplicaMessage(message);
}

}  // namespace peridotmill
