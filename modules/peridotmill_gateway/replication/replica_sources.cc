#include "peridotmill_gateway/replication/replica_sources.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "peridotmill_gateway/replication/replica_message.h"

namespace peridotmill {
namespace {

constexpr Duration kReviewInterval = std::chrono::milliseconds(200);
// A source that is silent for three of its reports is given up.
constexpr Duration kSilenceTimeout = std::chrono::milliseconds(1200);
// A source that has not heard from the store for longer is out of touch with
// it: its watch runs out and its lease is renewed more often than this.
constexpr Duration kStaleAfter = std::chrono::milliseconds(2000);
// After an outage the watchers of the domain are given this time before another
// node reads in their place.
constexpr Duration kWatcherHeadStart = std::chrono::milliseconds(1500);
// A new node reads from the store if no source has told it anything by then.
constexpr Duration kFirstNewsTimeout = std::chrono::milliseconds(1500);
// The same while a source is sending.
constexpr Duration kLongestSnapshotTime = std::chrono::seconds(6);
// Time for the first source to send everything before another one is asked.
constexpr Duration kFirstSourceTime = std::chrono::milliseconds(600);
// A node that watches without being asked to goes on for this long.
constexpr Duration kWatchLinger = std::chrono::seconds(3);
// A node that finds fewer others gives them this time to register.
constexpr size_t kFewestOthers = 2;
constexpr Duration kColdStartDelay = std::chrono::milliseconds(700);
constexpr size_t kWantedSources = 2;
// Sources asked at a time while none of them is in touch with the store.
constexpr size_t kMostSources = 4;
// Bounds what a snapshot may take in memory before it is complete; twenty times
// the endpoints of the largest fleet planned for.
constexpr size_t kMaxSnapshotEntries = 26000;
constexpr Duration kFirstExclusion = std::chrono::seconds(1);
constexpr int kMaxDoublings = 4;

}  // namespace

// The subscription to one node.
class ReplicaSources::Link final : public PeerLinkListener {
 public:
  Link(ReplicaSources* owner, NodeId node, const std::string& address)
      : owner_(owner),
        node_(std::move(node)),
        opened_(owner->dependencies_.clock.Now()),
        last_frame_(opened_) {
    link_ = owner->dependencies_.dialer.Dial(address, this);
    Subscribe(owner->dependencies_.replica.revisions());
  }

  const NodeId& node() const { return node_; }
  TimePoint opened() const { return opened_; }
  TimePoint last_frame() const { return last_frame_; }
  std::optional<TimePoint> contact() const { return contact_; }
  bool IsFresh(TimePoint now) const {
    return contact_ && now - *contact_ <= kStaleAfter;
  }

  void Subscribe(const ReplicaRevisions& revisions) {
    link_->Send(EncodeReplicaMessage(SubscribeMessage{revisions}));
  }

  void NoteFrame(TimePoint now) { last_frame_ = now; }
  void NoteContact(TimePoint contact) { contact_ = contact; }

  // Frames of a snapshot that is not complete yet.
  std::optional<SnapshotMessage> partial;

 private:
  void OnLinkFrame(std::string_view frame) override {
    owner_->OnFrame(*this, frame);
  }
  void OnLinkLost() override { owner_->DropLink(node_, "lost"); }

  ReplicaSources* owner_;
  NodeId node_;
  TimePoint opened_;
  TimePoint last_frame_;
  // When the store last answered the source, or the one it learns from.
  std::optional<TimePoint> contact_;
  std::unique_ptr<PeerLink> link_;
};

ReplicaSources::ReplicaSources(const Dependencies& dependencies)
    : dependencies_(dependencies) {}

ReplicaSources::~ReplicaSources() = default;

void ReplicaSources::OnNodesChanged() {
  // All nodes of a fleet that starts together would watch for want of others.
  if (!started_ && !has_waited_for_others_ && IsAlone()) {
    if (cold_start_timer_ == nullptr) {
      cold_start_timer_ = dependencies_.timers.After(kColdStartDelay, [this] {
        has_waited_for_others_ = true;
        dependencies_.read_nodes();
      });
    }
    return;
  }
  if (!started_) {
    started_ = dependencies_.clock.Now();
  }
  is_role_outdated_ = true;
  if (review_timer_ == nullptr) {
    Review();
  }
}

bool ReplicaSources::IsAlone() const {
  const size_t others =
      dependencies_.nodes.size() -
      (dependencies_.nodes.Find(dependencies_.self) != nullptr ? 1 : 0);
  return others < kFewestOthers;
}

void ReplicaSources::NoteOwnContact() {
  own_contact_ = dependencies_.clock.Now();
  if (!own_contact_since_) {
    own_contact_since_ = own_contact_;
  }
  if (dependencies_.replica.is_watching()) {
    dependencies_.replica.NoteContact(*own_contact_);
  }
}

void ReplicaSources::NoteOwnSilence() {
  own_contact_since_.reset();
}

void ReplicaSources::NotePause() {
  for (const auto& [node, link] : links_) {
    link->NoteFrame(dependencies_.clock.Now());
  }
}

void ReplicaSources::Review() {
  review_timer_ =
      dependencies_.timers.After(kReviewInterval, [this] { Review(); });
  const TimePoint now = dependencies_.clock.Now();
  // Many nodes may have come or gone since the last review.
  if (std::exchange(is_role_outdated_, false)) {
    role_ = ChooseReplicaRole(dependencies_.nodes, dependencies_.self,
                              dependencies_.self_record);
  }
  std::vector<NodeId> silent;
  for (const auto& [node, link] : links_) {
    if (now - link->last_frame() > kSilenceTimeout) {
      silent.push_back(node);
    }
  }
  for (const NodeId& node : silent) {
    DropLink(node, "silent");
  }
  ChooseLinks();
  NoteStaleness();
  if (MustWatch()) {
    idle_since_.reset();
    dependencies_.replica.set_watching(true);
  } else if (dependencies_.replica.is_watching()) {
    if (!idle_since_) {
      idle_since_ = now;
    }
    if (now - *idle_since_ > kWatchLinger) {
      dependencies_.replica.set_watching(false);
    }
  }
}

void ReplicaSources::NoteStaleness() {
  if (FreshLinks() > 0) {
    stale_since_.reset();
  } else if (!stale_since_) {
    stale_since_ = dependencies_.clock.Now();
    if (dependencies_.replica.knows(ReplicaPart::kConfiguration)) {
      dependencies_.probe_store();
    }
  }
}

bool ReplicaSources::MustWatch() const {
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
  if (!KnowsAllParts()) {
    // A long snapshot over a small host's link takes its time; a whole fleet
    // that reads the store instead takes longer.
    const Duration patience =
        IsHearing() ? kLongestSnapshotTime : kFirstNewsTimeout;
    return started_ && now - *started_ > patience;
  }
  // With the store away for all nodes, the watchers alone try it.
  return OwnContactHolds();
}

bool ReplicaSources::OwnContactHolds() const {
  if (!own_contact_ || !own_contact_since_ || *own_contact_ <= *stale_since_) {
    return false;
  }
  const bool is_without_outage = *own_contact_since_ < *stale_since_;
  return is_without_outage ||
         *own_contact_ - *own_contact_since_ > kWatcherHeadStart;
}

bool ReplicaSources::KnowsAllParts() const {
  const auto revisions = dependencies_.replica.revisions();
  return std::all_of(revisions.begin(), revisions.end(),
                     [](int64_t revision) { return revision > 0; });
}

bool ReplicaSources::IsHearing() const {
  const TimePoint now = dependencies_.clock.Now();
  return std::any_of(links_.begin(), links_.end(), [&](const auto& entry) {
    const Link& link = *entry.second;
    return link.last_frame() > link.opened() &&
           now - link.last_frame() < kFirstSourceTime;
  });
}

size_t ReplicaSources::FreshLinks() const {
  const TimePoint now = dependencies_.clock.Now();
  return static_cast<size_t>(std::count_if(
      links_.begin(), links_.end(),
      [&](const auto& entry) { return entry.second->IsFresh(now); }));
}

bool ReplicaSources::IsExcluded(const NodeId& node) const {
  const auto found = exclusions_.find(node);
  return found != exclusions_.end() &&
         found->second.until > dependencies_.clock.Now();
}

void ReplicaSources::ChooseLinks() {
  const TimePoint now = dependencies_.clock.Now();
  size_t linked = 0;
  size_t fresh = 0;
  const bool knows_all = KnowsAllParts();
  std::vector<NodeId> kept;
  for (const NodeId& node : role_.sources) {
    if (fresh >= kWantedSources || linked >= kMostSources) {
      break;
    }
    // One source sends everything; the others only what is new then.
    if (!knows_all && linked > 0 &&
        now - links_.at(kept.back())->opened() < kFirstSourceTime) {
      break;
    }
    const NodeRecord* const record = dependencies_.nodes.Find(node);
    if (IsExcluded(node) || record == nullptr ||
        record->replica_address.empty()) {
      continue;
    }
    std::unique_ptr<Link>& link = links_[node];
    const bool is_new = link == nullptr;
    if (is_new) {
      link = std::make_unique<Link>(this, node, record->replica_address);
    }
    kept.push_back(node);
    ++linked;
    // One that has just been asked counts until it could have answered.
    if (is_new || !link->contact() || link->IsFresh(now)) {
      ++fresh;
    }
  }
  if (FreshLinks() < kWantedSources) {
    return;
  }
  std::erase_if(links_, [&](const auto& entry) {
    return std::find(kept.begin(), kept.end(), entry.first) == kept.end();
  });
}

void ReplicaSources::OnFrame(Link& link, std::string_view frame) {
  const TimePoint now = dependencies_.clock.Now();
  StoreReplica& replica = dependencies_.replica;
  auto message = DecodeReplicaMessage(frame);
  if (!message) {
    DropLink(link.node(), "malformed frame");
    return;
  }
  link.NoteFrame(now);
  if (auto* const snapshot = std::get_if<SnapshotMessage>(&*message)) {
    if (link.partial && link.partial->part == snapshot->part &&
        link.partial->revision == snapshot->revision) {
      snapshot->entries.insert(snapshot->entries.begin(),
                               link.partial->entries.begin(),
                               link.partial->entries.end());
    }
    link.partial.reset();
    if (snapshot->is_last) {
      replica.ApplyPeerSnapshot(*snapshot);
    } else if (snapshot->entries.size() <= kMaxSnapshotEntries) {
      link.partial = std::move(*snapshot);
    } else {
      DropLink(link.node(), "snapshot too large");
    }
  } else if (const auto* const changes =
                 std::get_if<ChangesMessage>(&*message)) {
    if (!replica.ApplyPeerChanges(*changes)) {
      link.Subscribe(replica.revisions());
    }
  } else if (const auto* const freshness =
                 std::get_if<FreshnessMessage>(&*message)) {
    exclusions_.erase(link.node());
    const ReplicaRevisions known = replica.revisions();
    for (size_t part = 0; part < known.size(); ++part) {
      if (known[part] < freshness->revisions[part]) {
        // Repairs what was missed on another way than a gap.
        link.Subscribe(known);
        break;
      }
    }
    if (freshness->store_contact_age != Duration::max()) {
      const TimePoint contact = now - freshness->store_contact_age;
      link.NoteContact(contact);
      replica.NoteContact(contact);
    }
  } else {
    DropLink(link.node(), "unexpected message");
  }
}

// NOLINTNEXTLINE(performance-unnecessary-value-param)
void ReplicaSources::DropLink(NodeId node, std::string_view reason) {
  const auto link = links_.find(node);
  if (link == links_.end()) {
    return;
  }
  links_.erase(link);
  Exclusion& exclusion = exclusions_[node];
  exclusion.until = dependencies_.clock.Now() +
                    kFirstExclusion * (1 << std::min(exclusion.failures_in_row,
                                                     kMaxDoublings));
  ++exclusion.failures_in_row;
  dependencies_.log.Write(
      "replica_source_lost",
      {{"peer", node.value()}, {"reason", std::string(reason)}});
}

}  // namespace peridotmill
