#include "peridotmill_gateway/replication/store_replica.h"

#include <algorithm>
#include <string>
#include <utility>

#include "peridotmill_gateway/store/registration_keeper.h"

namespace peridotmill {
namespace {

constexpr std::array<ReplicaPart, kReplicaPartCount> kParts = {
    ReplicaPart::kConfiguration, ReplicaPart::kRegistrations,
    ReplicaPart::kNodes};

}  // namespace

StoreReplica::StoreReplica(
    const Dependencies& dependencies,
    const std::array<PrefixFollowerSettings, kReplicaPartCount>&
        followed_prefixes,
    ReplicaConsumer consumer)
    : dependencies_(dependencies), consumer_(std::move(consumer)) {
  for (const ReplicaPart part : kParts) {
    const auto index = static_cast<size_t>(part);
    followers_[index] = std::make_unique<PrefixFollower>(
        followed_prefixes[index],
        PrefixFollowerEvents{
            .on_snapshot =
                [this, part](const std::vector<StoreEntry>& entries,
                             bool was_unreachable) {
                  OnStoreSnapshot(part, entries, was_unreachable);
                },
            .on_changes =
                [this, part](const PrefixChanges& changes) {
                  OnStoreChanges(part, changes);
                }},
        dependencies.store, dependencies.recovery, dependencies.timers,
        dependencies.log);
  }
}

void StoreReplica::ReadNodes() {
  follower(ReplicaPart::kNodes).Start();
}

void StoreReplica::set_watching(bool is_watching) {
  if (is_watching == is_watching_) {
    return;
  }
  is_watching_ = is_watching;
  dependencies_.log.Write("store_watch",
                          {{"watching", is_watching ? "1" : "0"}});
  for (const ReplicaPart part : kParts) {
    if (!is_watching) {
      follower(part).Stop();
    } else if (!follower(part).is_started()) {
      follower(part).Start();
    }
  }
}

void StoreReplica::ReadAgain(ReplicaPart part) {
  if (is_watching_) {
    follower(part).ReadAgain();
  } else if (knows(part)) {
    consumer_.on_snapshot(part, EntriesOf(image(part)),
                          /*was_unreachable=*/false);
  }
}

void StoreReplica::ReadAllAgain() {
  if (is_watching_) {
    for (const ReplicaPart part : kParts) {
      follower(part).ReadAgain();
    }
  }
}

bool StoreReplica::ApplyPeerChanges(const ChangesMessage& message) {
  return ApplyAndTell(message);
}

void StoreReplica::ApplyPeerSnapshot(const SnapshotMessage& message) {
  AdoptAndTell(message.part, message.revision, message.entries,
               message.is_after_outage);
}

ReplicaRevisions StoreReplica::revisions() const {
  ReplicaRevisions revisions = {};
  for (const ReplicaPart part : kParts) {
    revisions[static_cast<size_t>(part)] = image(part).revision;
  }
  return revisions;
}

ReplicaRevisions StoreReplica::changed_revisions() const {
  ReplicaRevisions revisions = {};
  for (const ReplicaPart part : kParts) {
    revisions[static_cast<size_t>(part)] = image(part).changed_revision;
  }
  return revisions;
}

bool StoreReplica::is_after_outage(ReplicaPart part) const {
  const auto& ended = outage_ended_[static_cast<size_t>(part)];
  return ended && dependencies_.clock.Now() - *ended < kReturnGrace;
}

void StoreReplica::OnStoreSnapshot(ReplicaPart part,
                                   const std::vector<StoreEntry>& entries,
                                   bool was_unreachable) {
  NoteContact(dependencies_.clock.Now());
  AdoptAndTell(part, follower(part).revision(), entries, was_unreachable);
  if (!is_watching_) {
    follower(part).Stop();
  }
}

void StoreReplica::OnStoreChanges(ReplicaPart part,
                                  const PrefixChanges& changes) {
  NoteContact(dependencies_.clock.Now());
  if (!ApplyAndTell({.part = part, .changes = changes})) {
    // Only a reading can tell what the follower did not report.
    follower(part).ReadAgain();
  }
}

void StoreReplica::AdoptAndTell(ReplicaPart part,
                                int64_t revision,
                                const std::vector<StoreEntry>& entries,
                                bool was_unreachable) {
  const bool is_first = !knows(part);
  const bool is_newer = revision > image(part).revision;
  const auto changes = AdoptSnapshot(mutable_image(part), revision, entries);
  if (!changes) {
    return;
  }
  if (was_unreachable) {
    outage_ended_[static_cast<size_t>(part)] = dependencies_.clock.Now();
  }
  // One without changes still ends the time for which entries that lapsed are
  // kept.
  consumer_.on_snapshot(part, entries, was_unreachable);
  // What others may know as well is not passed on: nodes subscribe to one
  // another, and would send it round without end.
  if (is_first) {
    for (ReplicaObserver* const observer : observers_) {
      observer->OnReplicaSnapshot(part);
    }
  } else if (is_newer && !changes->changes.empty()) {
    Tell({.part = part,
          .changes = *changes,
          .is_after_outage = was_unreachable});
  }
}

bool StoreReplica::ApplyAndTell(const ChangesMessage& message) {
  const ReplicaPart part = message.part;
  auto applied = ApplyChanges(mutable_image(part), message.changes);
  if (!applied) {
    return false;
  }
  if (applied->changes.empty()) {
    return true;
  }
  if (message.is_after_outage) {
    outage_ended_[static_cast<size_t>(part)] = dependencies_.clock.Now();
    consumer_.on_snapshot(part, EntriesOf(image(part)),
                          /*was_unreachable=*/true);
  } else {
    for (const StoreChange& change : applied->changes) {
      consumer_.on_change(part, change);
    }
  }
  Tell({.part = part,
        .changes = *std::move(applied),
        .is_after_outage = message.is_after_outage});
  return true;
}

void StoreReplica::Tell(const ChangesMessage& message) {
  for (ReplicaObserver* const observer : observers_) {
    observer->OnReplicaChanges(message);
  }
}

void StoreReplica::NoteContact(TimePoint contact) {
  last_contact_ = last_contact_ ? std::max(*last_contact_, contact) : contact;
}

}  // namespace peridotmill
