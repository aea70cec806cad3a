#include "peridotmill_gateway/replication/replica_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "peridotmill_gateway/replication/replica_message.h"

namespace peridotmill {
namespace {

// Interval of the freshness reports, which also serve as heartbeats.
constexpr Duration kFreshnessReportInterval = std::chrono::milliseconds(400);
// Limit on the total size of the values in one snapshot frame. A larger value
// is sent in a frame of its own.
constexpr size_t kMaxSnapshotFrameValueBytes = size_t{16} << 10;
// Sizes of the chunks of a transfer and of the range that one request may name.
// Freshness reports are sent between the chunks.
constexpr size_t kMaxChunkBytes = size_t{16} << 10;
constexpr size_t kMaxRangeBytes = size_t{64} << 10;
// Incoming links that may be open at a time.
constexpr size_t kMaxIncomingLinks = 512;

std::vector<std::string> EncodeSnapshot(const StoreReplica& replica,
                                        ReplicaPart part,
                                        size_t max_value_bytes) {
  std::vector<std::string> frames;
  SnapshotMessage message = {.part = part,
                             .revision = replica.state(part).revision,
                             .is_after_outage = replica.is_after_outage(part),
                             .is_last = false};
  size_t value_bytes = 0;
  for (const auto& [key, entry] : replica.state(part).entries) {
    if (value_bytes + entry.value.size() > kMaxSnapshotFrameValueBytes &&
        !message.entries.empty()) {
      frames.push_back(EncodeReplicaMessage(message, max_value_bytes));
      message.entries.clear();
      value_bytes = 0;
    }
    value_bytes += entry.value.size();
    message.entries.push_back(entry);
  }
  message.is_last = true;
  frames.push_back(EncodeReplicaMessage(message, max_value_bytes));
  return frames;
}

}  // namespace

// One incoming link and its subscription state.
class ReplicaService::Session final : public PeerLinkListener {
 public:
  Session(ReplicaService* service, const LinkMaker& make_link)
      : service_(service) {
    link_ = make_link(this);
  }

  bool is_subscribed() const { return is_subscribed_; }
  // Size up to which values are part of updates to this node.
  size_t max_value_bytes() const { return max_value_bytes_; }
  void Send(std::string_view frame) { link_->Send(frame); }

 private:
  void OnLinkFrame(std::string_view frame) override {
    const auto message = DecodeReplicaMessage(frame);
    const auto* const subscribe =
        message ? std::get_if<SubscribeMessage>(&*message) : nullptr;
    const auto* const fetch =
        message ? std::get_if<FetchValueMessage>(&*message) : nullptr;
    if (subscribe != nullptr) {
      OnSubscribe(*subscribe);
    } else if (fetch != nullptr) {
      for (const std::string& chunk : service_->TransferFrames(*fetch)) {
        link_->Send(chunk);
      }
    } else {
      service_->OnMalformedFrame(this);
    }
  }
  void OnLinkLost() override { service_->CloseSession(this); }

  void OnSubscribe(const SubscribeMessage& subscribe) {
    is_subscribed_ = true;
    max_value_bytes_ =
        subscribe.accepts_omitted_values ? kMaxInlineValueBytes : SIZE_MAX;
    SendUpdates(ReplicaPart::kConfiguration, subscribe.revisions);
    SendUpdates(ReplicaPart::kRegistrations, subscribe.revisions);
    SendUpdates(ReplicaPart::kNodes, subscribe.revisions);
    link_->Send(service_->EncodeFreshness());
    service_->ScheduleFreshnessReport();
  }

  void SendUpdates(ReplicaPart part,
                   const ReplicaRevisions& subscriber_revisions) {
    const StoreReplica& replica = service_->replica_;
    const int64_t revision = subscriber_revisions[static_cast<size_t>(part)];
    if (replica.state(part).last_change_revision <= revision) {
      return;
    }
    if (auto changes = ChangesSince(replica.state(part), revision)) {
      link_->Send(EncodeReplicaMessage(
          ChangesMessage{.part = part, .changes = *std::move(changes)},
          max_value_bytes_));
      return;
    }
    for (const std::string& frame :
         service_->SnapshotFrames(part, max_value_bytes_)) {
      link_->Send(frame);
    }
  }

  ReplicaService* service_;
  std::unique_ptr<PeerLink> link_;
  bool is_subscribed_ = false;
  size_t max_value_bytes_ = SIZE_MAX;
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
  if (sessions_.size() >= kMaxIncomingLinks) {
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
    ReplicaPart part,
    size_t max_value_bytes) {
  CachedSnapshot& cached =
      snapshots_[static_cast<size_t>(part)][max_value_bytes];
  const int64_t last_change_revision =
      replica_.state(part).last_change_revision;
  const bool is_after_outage = replica_.is_after_outage(part);
  if (cached.last_change_revision != last_change_revision ||
      cached.is_after_outage != is_after_outage) {
    cached = {.last_change_revision = last_change_revision,
              .is_after_outage = is_after_outage,
              .frames = EncodeSnapshot(replica_, part, max_value_bytes)};
  }
  return cached.frames;
}

void ReplicaService::OnReplicaSnapshot(ReplicaPart part) {
  for (const auto& [raw, session] : sessions_) {
    if (!session->is_subscribed()) {
      continue;
    }
    for (const std::string& frame :
         SnapshotFrames(part, session->max_value_bytes())) {
      session->Send(frame);
    }
  }
}

void ReplicaService::OnReplicaChanges(const ChangesMessage& message) {
  // Frees the outdated snapshot, which may be large.
  snapshots_[static_cast<size_t>(message.part)].clear();
  SendToSubscribers(message);
}

void ReplicaService::SendToSubscribers(const ReplicaMessage& message) {
  std::map<size_t, std::string> frames;
  for (const auto& [raw, session] : sessions_) {
    if (!session->is_subscribed()) {
      continue;
    }
    const size_t max_value_bytes = session->max_value_bytes();
    const auto [frame, is_new] = frames.try_emplace(max_value_bytes);
    if (is_new) {
      frame->second = EncodeReplicaMessage(message, max_value_bytes);
    }
    session->Send(frame->second);
  }
}

std::vector<std::string> ReplicaService::TransferFrames(
    const FetchValueMessage& request) {
  const auto transfer = transfers_.Get(replica_.state(request.version.part),
                                       request.version, request.base_revision);
  ValueChunkMessage chunk = {.version = request.version,
                             .offset = request.offset};
  if (transfer == nullptr || request.offset >= transfer->bytes.size()) {
    return {EncodeReplicaMessage(chunk)};
  }
  chunk.base_revision = transfer->base_revision;
  chunk.transfer_digest = transfer->digest;
  chunk.transfer_size = static_cast<uint32_t>(transfer->bytes.size());
  const size_t end =
      std::min(transfer->bytes.size(),
               request.offset + std::min<size_t>(request.size, kMaxRangeBytes));
  std::vector<std::string> frames;
  for (size_t offset = request.offset; offset < end; offset += kMaxChunkBytes) {
    chunk.offset = static_cast<uint32_t>(offset);
    chunk.bytes =
        transfer->bytes.substr(offset, std::min(kMaxChunkBytes, end - offset));
    frames.push_back(EncodeReplicaMessage(chunk));
  }
  return frames;
}

void ReplicaService::OnMalformedFrame(Session* session) {
  ++malformed_frames_;
  log_.Write("replica_frame_malformed",
             {{"total", std::to_string(malformed_frames_)}});
  CloseSession(session);
}

void ReplicaService::CloseSession(Session* session) {
  sessions_.erase(session);
}

void ReplicaService::ScheduleFreshnessReport() {
  if (freshness_report_timer_ != nullptr) {
    return;
  }
  freshness_report_timer_ = timers_.After(kFreshnessReportInterval, [this] {
    freshness_report_timer_.reset();
    if (subscriber_count() == 0) {
      return;
    }
    const std::string frame = EncodeFreshness();
    for (const auto& [raw, session] : sessions_) {
      if (session->is_subscribed()) {
        session->Send(frame);
      }
    }
    ScheduleFreshnessReport();
  });
}

std::string ReplicaService::EncodeFreshness() const {
  FreshnessMessage message = {.revisions = replica_.last_change_revisions()};
  if (const auto contact = replica_.last_store_contact()) {
    message.store_contact_age = clock_.Now() - *contact;
  }
  return EncodeReplicaMessage(message);
}

}  // namespace peridotmill
