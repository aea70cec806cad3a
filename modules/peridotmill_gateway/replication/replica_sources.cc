#include "peridotmill_gateway/replication/replica_sources.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "peridotmill_gateway/replication/replica_message.h"
#include "peridotmill_gateway/store/store_position.h"

namespace peridotmill {
namespace {

constexpr Duration kEvaluationInterval = std::chrono::milliseconds(200);
// Three intervals of the freshness reports. A source that sends no frame for
// longer is dropped.
constexpr Duration kSourceFrameTimeout = std::chrono::milliseconds(1200);
// A source whose last store contact is older is stale. Watches end and leases
// are renewed more often than this, so a working source has newer contact.
constexpr Duration kStoreContactStaleAfter = std::chrono::milliseconds(2000);
// Time that the domain's watchers have after an outage to resume before another
// node watches in their place.
constexpr Duration kWatcherRecoveryTime = std::chrono::milliseconds(1500);
// A new node reads from the store if it lacks a part after this time and no
// source is sending.
constexpr Duration kInitialLoadTimeout = std::chrono::milliseconds(1500);
// The same limit while a source is sending.
constexpr Duration kReceivingInitialLoadTimeout = std::chrono::seconds(6);
// Time for a source to send its snapshots before the next source is added. A
// source counts as sending for as long after each frame.
constexpr Duration kNextSourceDelay = std::chrono::milliseconds(600);
// Time for which a node goes on watching after the reason to watch has ended.
constexpr Duration kWatchStopDelay = std::chrono::seconds(3);
// A starting node that finds fewer other nodes than this waits once for
// kColdStartDelay, so that they can register.
constexpr size_t kMinPeersAtStart = 2;
constexpr Duration kColdStartDelay = std::chrono::milliseconds(700);
constexpr size_t kTargetFreshSources = 2;
// Limit on the sources in use while too few of them are fresh.
constexpr size_t kMaxSources = 4;
// Limits the memory of an incomplete snapshot: twenty times the number of
// endpoints in the largest planned fleet.
constexpr size_t kMaxSnapshotEntries = 26000;
constexpr Duration kInitialSourceBackoff = std::chrono::seconds(1);
constexpr int kMaxBackoffDoublings = 4;

}  // namespace

// The subscription to one node.
class ReplicaSources::Subscription final : public PeerLinkListener {
 public:
  Subscription(ReplicaSources* owner, NodeId node, const std::string& address)
      : owner_(owner),
        node_(std::move(node)),
        opened_(owner->dependencies_.clock.Now()),
        last_frame_(opened_) {
    link_ = owner->dependencies_.dialer.Dial(address, this);
  }

  const NodeId& node() const { return node_; }
  TimePoint opened() const { return opened_; }
  TimePoint last_frame() const { return last_frame_; }
  std::optional<TimePoint> store_contact() const { return store_contact_; }
  bool IsFresh(TimePoint now) const {
    return store_contact_ && now - *store_contact_ <= kStoreContactStaleAfter;
  }

  void Send(const ReplicaMessage& message) {
    link_->Send(EncodeReplicaMessage(message));
  }

  void RecordFrame(TimePoint now) { last_frame_ = now; }
  void RecordStoreContact(TimePoint store_contact) {
    store_contact_ = store_contact;
  }

  // Store revision of the latest configuration that the source has announced.
  int64_t announced_configuration = 0;
  // The frames received so far of a snapshot that is not complete.
  std::optional<SnapshotMessage> partial_snapshot;
  // An update was ignored while the values of another one were fetched.
  bool has_ignored_update = false;

 private:
  void OnLinkFrame(std::string_view frame) override {
    owner_->OnFrame(*this, frame);
  }
  void OnLinkLost() override { owner_->DropSource(node_, "lost"); }

  ReplicaSources* owner_;
  NodeId node_;
  TimePoint opened_;
  TimePoint last_frame_;
  // When the store last responded to the source, or to the node from which the
  // source received its data.
  std::optional<TimePoint> store_contact_;
  std::unique_ptr<PeerLink> link_;
};

ReplicaSources::ReplicaSources(const Dependencies& dependencies)
    : dependencies_(dependencies),
      configuration_fetcher_(
          dependencies.clock,
          dependencies.log,
          dependencies.replica.state(ReplicaPart::kConfiguration),
          {.sources =
               [this] {
                 std::vector<NodeId> nodes;
                 for (const auto& [node, subscription] : subscriptions_) {
                   nodes.push_back(node);
                 }
                 return nodes;
               },
           .send =
               [this](const NodeId& node, const FetchValueMessage& request) {
                 const auto found = subscriptions_.find(node);
                 if (found != subscriptions_.end()) {
                   found->second->Send(request);
                 }
               },
           .on_complete =
               [this](const ReplicaUpdate& update) {
                 OnUpdateFetched(update);
               }}) {}

ReplicaSources::~ReplicaSources() = default;

void ReplicaSources::OnNodesChanged() {
  // Without this delay, all nodes of a fleet that starts at once would watch,
  // because each of them finds no other node.
  if (!first_evaluation_ && !has_waited_for_registrations_ &&
      HasTooFewPeers()) {
    if (cold_start_timer_ == nullptr) {
      cold_start_timer_ = dependencies_.timers.After(kColdStartDelay, [this] {
        has_waited_for_registrations_ = true;
        dependencies_.read_nodes();
      });
    }
    return;
  }
  if (!first_evaluation_) {
    first_evaluation_ = dependencies_.clock.Now();
  }
  is_role_outdated_ = true;
  if (evaluation_timer_ == nullptr) {
    EvaluateSources();
  }
}

bool ReplicaSources::HasTooFewPeers() const {
  const size_t peer_count =
      dependencies_.nodes.size() -
      (dependencies_.nodes.Find(dependencies_.self) != nullptr ? 1 : 0);
  return peer_count < kMinPeersAtStart;
}

void ReplicaSources::OnStoreResponded() {
  own_store_contact_ = dependencies_.clock.Now();
  if (!own_store_contact_since_) {
    own_store_contact_since_ = own_store_contact_;
  }
  if (dependencies_.replica.is_watching()) {
    dependencies_.replica.RecordStoreContact(*own_store_contact_);
  }
}

void ReplicaSources::OnStoreUnresponsive() {
  own_store_contact_since_.reset();
}

void ReplicaSources::OnProcessPaused() {
  for (const auto& [node, subscription] : subscriptions_) {
    subscription->RecordFrame(dependencies_.clock.Now());
  }
}

void ReplicaSources::EvaluateSources() {
  evaluation_timer_ = dependencies_.timers.After(kEvaluationInterval,
                                                 [this] { EvaluateSources(); });
  const TimePoint now = dependencies_.clock.Now();
  // The role is computed here and not for each of many node changes.
  if (std::exchange(is_role_outdated_, false)) {
    role_ = ChooseReplicaRole(dependencies_.nodes, dependencies_.self,
                              dependencies_.self_record);
  }
  std::vector<NodeId> unresponsive;
  for (const auto& [node, subscription] : subscriptions_) {
    if (now - subscription->last_frame() > kSourceFrameTimeout) {
      unresponsive.push_back(node);
    }
  }
  for (const NodeId& node : unresponsive) {
    DropSource(node, "silent");
  }
  configuration_fetcher_.CheckProgress();
  UpdateSubscriptions();
  UpdateStaleness();
  if (ShouldWatchStore()) {
    unneeded_watch_since_.reset();
    dependencies_.replica.set_watching(true);
  } else if (dependencies_.replica.is_watching()) {
    if (!unneeded_watch_since_) {
      unneeded_watch_since_ = now;
    }
    if (now - *unneeded_watch_since_ > kWatchStopDelay) {
      dependencies_.replica.set_watching(false);
    }
  }
}

void ReplicaSources::UpdateStaleness() {
  if (CountFreshSources() > 0) {
    stale_since_.reset();
  } else if (!stale_since_) {
    stale_since_ = dependencies_.clock.Now();
    if (dependencies_.replica.is_loaded(ReplicaPart::kConfiguration)) {
      dependencies_.probe_store();
    }
  }
}

bool ReplicaSources::ShouldWatchStore() const {
  const TimePoint now = dependencies_.clock.Now();
  if (role_.is_watcher || dependencies_.service.subscriber_count() > 0) {
    return true;
  }
  if (!stale_since_) {
    return false;
  }
  if (dependencies_.replica.is_watching()) {
    return true;
  }
  if (!HasAllParts()) {
    // A long snapshot takes time over a small host's network link, but a whole
    // fleet that reads from the store instead takes longer.
    const Duration timeout = IsReceivingFrames() ? kReceivingInitialLoadTimeout
                                                 : kInitialLoadTimeout;
    return first_evaluation_ && now - *first_evaluation_ > timeout;
  }
  // While no node reaches the store, only the watchers retry it.
  return HasSustainedStoreContact();
}

bool ReplicaSources::HasSustainedStoreContact() const {
  if (!own_store_contact_ || !own_store_contact_since_ ||
      *own_store_contact_ <= *stale_since_) {
    return false;
  }
  const bool had_contact_before = *own_store_contact_since_ < *stale_since_;
  return had_contact_before ||
         *own_store_contact_ - *own_store_contact_since_ > kWatcherRecoveryTime;
}

bool ReplicaSources::IsConfigurationOutdated() const {
  const int64_t own =
      dependencies_.replica.state(ReplicaPart::kConfiguration).revision;
  return std::any_of(subscriptions_.begin(), subscriptions_.end(),
                     [own](const auto& entry) {
                       return entry.second->announced_configuration > own;
                     });
}

bool ReplicaSources::HasAllParts() const {
  const auto revisions = dependencies_.replica.revisions();
  return std::all_of(revisions.begin(), revisions.end(),
                     [](int64_t revision) { return revision > 0; });
}

bool ReplicaSources::IsReceivingFrames() const {
  const TimePoint now = dependencies_.clock.Now();
  return std::any_of(
      subscriptions_.begin(), subscriptions_.end(), [&](const auto& entry) {
        const Subscription& subscription = *entry.second;
        return subscription.last_frame() > subscription.opened() &&
               now - subscription.last_frame() < kNextSourceDelay;
      });
}

size_t ReplicaSources::CountFreshSources() const {
  const TimePoint now = dependencies_.clock.Now();
  return static_cast<size_t>(std::count_if(
      subscriptions_.begin(), subscriptions_.end(),
      [&](const auto& entry) { return entry.second->IsFresh(now); }));
}

bool ReplicaSources::IsInBackoff(const NodeId& node) const {
  const auto found = backoffs_.find(node);
  return found != backoffs_.end() &&
         found->second.until > dependencies_.clock.Now();
}

void ReplicaSources::UpdateSubscriptions() {
  const TimePoint now = dependencies_.clock.Now();
  size_t subscribed_count = 0;
  size_t fresh_count = 0;
  const bool has_all_parts = HasAllParts();
  std::vector<NodeId> selected;
  for (const NodeId& node : role_.sources) {
    if (fresh_count >= kTargetFreshSources || subscribed_count >= kMaxSources) {
      break;
    }
    // The first source sends full snapshots; sources added later then send only
    // newer changes.
    if (!has_all_parts && subscribed_count > 0 &&
        now - subscriptions_.at(selected.back())->opened() < kNextSourceDelay) {
      break;
    }
    const NodeRecord* const record = dependencies_.nodes.Find(node);
    if (IsInBackoff(node) || record == nullptr ||
        record->replica_address.empty()) {
      continue;
    }
    std::unique_ptr<Subscription>& subscription = subscriptions_[node];
    const bool is_new = subscription == nullptr;
    if (is_new) {
      subscription =
          std::make_unique<Subscription>(this, node, record->replica_address);
      Subscribe(*subscription);
    }
    selected.push_back(node);
    ++subscribed_count;
    // A new source counts as fresh until its first freshness report.
    if (is_new || !subscription->store_contact() ||
        subscription->IsFresh(now)) {
      ++fresh_count;
    }
  }
  if (CountFreshSources() < kTargetFreshSources) {
    return;
  }
  std::erase_if(subscriptions_, [&](const auto& entry) {
    return std::find(selected.begin(), selected.end(), entry.first) ==
           selected.end();
  });
}

void ReplicaSources::OnFrame(Subscription& subscription,
                             std::string_view frame) {
  auto message = DecodeReplicaMessage(frame);
  if (!message) {
    DropSource(subscription.node(), "malformed frame");
    return;
  }
  subscription.RecordFrame(dependencies_.clock.Now());
  if (auto* const snapshot = std::get_if<SnapshotMessage>(&*message)) {
    OnSnapshot(subscription, std::move(*snapshot));
  } else if (auto* const changes = std::get_if<ChangesMessage>(&*message)) {
    ReceiveUpdate(subscription, std::move(*changes));
  } else if (const auto* const chunk =
                 std::get_if<ValueChunkMessage>(&*message)) {
    configuration_fetcher_.OnChunk(*chunk);
  } else if (const auto* const freshness =
                 std::get_if<FreshnessMessage>(&*message)) {
    OnFreshness(subscription, *freshness);
  } else {
    DropSource(subscription.node(), "unexpected message");
  }
}

void ReplicaSources::OnSnapshot(Subscription& subscription,
                                SnapshotMessage snapshot) {
  if (subscription.partial_snapshot &&
      subscription.partial_snapshot->part == snapshot.part &&
      subscription.partial_snapshot->revision == snapshot.revision) {
    SnapshotMessage& partial = *subscription.partial_snapshot;
    std::move(snapshot.entries.begin(), snapshot.entries.end(),
              std::back_inserter(partial.entries));
    std::move(snapshot.omitted_values.begin(), snapshot.omitted_values.end(),
              std::back_inserter(partial.omitted_values));
    partial.is_last = snapshot.is_last;
    snapshot = std::move(partial);
  }
  subscription.partial_snapshot.reset();
  if (snapshot.is_last) {
    ReceiveUpdate(subscription, std::move(snapshot));
  } else if (snapshot.entries.size() <= kMaxSnapshotEntries) {
    subscription.partial_snapshot = std::move(snapshot);
  } else {
    DropSource(subscription.node(), "snapshot too large");
  }
}

void ReplicaSources::OnFreshness(Subscription& subscription,
                                 const FreshnessMessage& freshness) {
  backoffs_.erase(subscription.node());
  subscription.announced_configuration =
      freshness.revisions[static_cast<size_t>(ReplicaPart::kConfiguration)];
  const ReplicaRevisions own_revisions = dependencies_.replica.revisions();
  for (size_t part = 0; part < own_revisions.size(); ++part) {
    const bool is_fetching =
        part == static_cast<size_t>(ReplicaPart::kConfiguration) &&
        configuration_fetcher_.is_fetching();
    if (own_revisions[part] < freshness.revisions[part] && !is_fetching) {
      // Requests changes that were lost without a detectable gap.
      Subscribe(subscription);
      break;
    }
  }
  // A source in an earlier era is behind a restored store, or knows no eras; it
  // can't keep this node up to date, so that its contact doesn't count.
  constexpr auto kConfigurationIndex =
      static_cast<size_t>(ReplicaPart::kConfiguration);
  const bool is_of_earlier_era =
      StoreEraOf(freshness.revisions[kConfigurationIndex]) <
      StoreEraOf(own_revisions[kConfigurationIndex]);
  if (freshness.store_contact_age != Duration::max() && !is_of_earlier_era) {
    const TimePoint store_contact =
        dependencies_.clock.Now() - freshness.store_contact_age;
    subscription.RecordStoreContact(store_contact);
    dependencies_.replica.RecordStoreContact(store_contact);
  }
}

void ReplicaSources::ReceiveUpdate(Subscription& subscription,
                                   ReplicaUpdate update) {
  const bool is_configuration =
      UpdatePart(update) == ReplicaPart::kConfiguration;
  if (is_configuration) {
    subscription.announced_configuration =
        std::max(subscription.announced_configuration, UpdateRevision(update));
  }
  if (is_configuration && configuration_fetcher_.is_fetching()) {
    subscription.has_ignored_update =
        subscription.has_ignored_update ||
        UpdateRevision(update) > configuration_fetcher_.revision();
    return;
  }
  const bool has_omitted_values = std::visit(
      [](const auto& message) { return !message.omitted_values.empty(); },
      update);
  if (has_omitted_values) {
    if (is_configuration) {
      configuration_fetcher_.Start(std::move(update), subscription.node());
    } else {
      DropSource(subscription.node(), "unexpected message");
    }
  } else if (!ApplyUpdate(update)) {
    Subscribe(subscription);
  }
}

bool ReplicaSources::ApplyUpdate(const ReplicaUpdate& update) {
  if (const auto* const snapshot = std::get_if<SnapshotMessage>(&update)) {
    dependencies_.replica.ApplyPeerSnapshot(*snapshot);
    return true;
  }
  return dependencies_.replica.ApplyPeerChanges(
      std::get<ChangesMessage>(update));
}

void ReplicaSources::OnUpdateFetched(const ReplicaUpdate& update) {
  const bool is_applied = ApplyUpdate(update);
  for (const auto& [node, subscription] : subscriptions_) {
    if (std::exchange(subscription->has_ignored_update, false) || !is_applied) {
      Subscribe(*subscription);
    }
  }
}

void ReplicaSources::Subscribe(Subscription& subscription) {
  subscription.Send(
      SubscribeMessage{.revisions = dependencies_.replica.revisions(),
                       .accepts_omitted_values = true});
}

// NOLINTNEXTLINE(performance-unnecessary-value-param)
void ReplicaSources::DropSource(NodeId node, std::string_view reason) {
  const auto subscription = subscriptions_.find(node);
  if (subscription == subscriptions_.end()) {
    return;
  }
  subscriptions_.erase(subscription);
  SourceBackoff& backoff = backoffs_[node];
  backoff.until =
      dependencies_.clock.Now() +
      kInitialSourceBackoff *
          (1 << std::min(backoff.consecutive_failures, kMaxBackoffDoublings));
  ++backoff.consecutive_failures;
  dependencies_.log.Write(
      "replica_source_lost",
      {{"peer", node.value()}, {"reason", std::string(reason)}});
}

}  // namespace peridotmill
