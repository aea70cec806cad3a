#include "peridotmill_gateway/replication/store_replica.h"

#include <algorithm>
#include <string>
#include <utility>

#include "peridotmill_gateway/store/registration_reconciler.h"

namespace peridotmill {
namespace {

constexpr std::array<ReplicaPart, kReplicaPartCount> kAllParts = {
    ReplicaPart::kConfiguration, ReplicaPart::kRegistrations,
    ReplicaPart::kNodes};

// Registrations are shorter. Longer values, which other writers may have
// written, are not kept or sent on: each of them would take as much as many
// registrations.
constexpr size_t kMaxRegistrationValueBytes = size_t{16} << 10;

bool IsOversized(ReplicaPart part, const StoreEntry& entry) {
  return part != ReplicaPart::kConfiguration &&
         entry.value.size() > kMaxRegistrationValueBytes;
}

bool HasEntryAfter(const PrefixState& state, int64_t revision) {
  return std::any_of(state.entries.begin(), state.entries.end(),
                     [revision](const auto& entry) {
                       return entry.second.mod_revision > revision;
                     });
}

}  // namespace

StoreReplica::StoreReplica(
    const Dependencies& dependencies,
    const std::array<PrefixWatcherSettings, kReplicaPartCount>&
        watched_prefixes,
    ReplicaConsumer consumer)
    : dependencies_(dependencies), consumer_(std::move(consumer)) {
  for (const ReplicaPart part : kAllParts) {
    const auto index = static_cast<size_t>(part);
    watchers_[index] = std::make_unique<PrefixWatcher>(
        watched_prefixes[index],
        PrefixWatcherCallbacks{
            .on_snapshot =
                [this, part](const std::vector<StoreEntry>& entries,
                             bool was_unreachable) {
                  OnStoreSnapshot(part, entries, was_unreachable);
                },
            .on_changes =
                [this, part](const PrefixChanges& changes) {
                  OnStoreChanges(part, changes);
                }},
        dependencies.store, dependencies.retry_queue, dependencies.timers,
        dependencies.log);
  }
}

void StoreReplica::ReadNodes() {
  watcher(ReplicaPart::kNodes).Start();
}

void StoreReplica::set_watching(bool is_watching) {
  if (is_watching == is_watching_) {
    return;
  }
  is_watching_ = is_watching;
  dependencies_.log.Write("store_watch",
                          {{"watching", is_watching ? "1" : "0"}});
  for (const ReplicaPart part : kAllParts) {
    if (!is_watching) {
      watcher(part).Stop();
    } else if (!watcher(part).is_started()) {
      watcher(part).Start();
    }
  }
}

void StoreReplica::Reload(ReplicaPart part) {
  if (is_watching_) {
    watcher(part).Reload();
  } else if (is_loaded(part)) {
    consumer_.on_snapshot(part, CopyEntries(state(part)),
                          /*was_unreachable=*/false);
  }
}

void StoreReplica::ReloadAll() {
  if (is_watching_) {
    for (const ReplicaPart part : kAllParts) {
      watcher(part).Reload();
    }
  }
}

bool StoreReplica::ApplyPeerChanges(const ChangesMessage& message) {
  return ApplyChangesAndNotify(message);
}

void StoreReplica::ApplyPeerSnapshot(const SnapshotMessage& message) {
  ApplySnapshotAndNotify(message.part, message.revision, message.entries,
                         message.is_after_outage);
}

ReplicaRevisions StoreReplica::revisions() const {
  ReplicaRevisions revisions = {};
  for (const ReplicaPart part : kAllParts) {
    revisions[static_cast<size_t>(part)] = state(part).revision;
  }
  return revisions;
}

ReplicaRevisions StoreReplica::last_change_revisions() const {
  ReplicaRevisions revisions = {};
  for (const ReplicaPart part : kAllParts) {
    revisions[static_cast<size_t>(part)] = state(part).last_change_revision;
  }
  return revisions;
}

bool StoreReplica::is_after_outage(ReplicaPart part) const {
  const auto& outage_end = outage_end_times_[static_cast<size_t>(part)];
  return outage_end &&
         dependencies_.clock.Now() - *outage_end < kReregistrationGrace;
}

void StoreReplica::OnStoreSnapshot(ReplicaPart part,
                                   const std::vector<StoreEntry>& entries,
                                   bool was_unreachable) {
  RecordStoreContact(dependencies_.clock.Now());
  const auto is_oversized = [part](const StoreEntry& entry) {
    return IsOversized(part, entry);
  };
  if (std::any_of(entries.begin(), entries.end(), is_oversized)) {
    std::vector<StoreEntry> bounded = entries;
    for (StoreEntry& entry : bounded) {
      if (is_oversized(entry)) {
        entry.value.clear();
      }
    }
    ApplySnapshotAndNotify(part, watcher(part).revision(), bounded,
                           was_unreachable);
  } else {
    ApplySnapshotAndNotify(part, watcher(part).revision(), entries,
                           was_unreachable);
  }
  if (!is_watching_) {
    watcher(part).Stop();
  }
}

void StoreReplica::OnStoreChanges(ReplicaPart part,
                                  const PrefixChanges& changes) {
  RecordStoreContact(dependencies_.clock.Now());
  ChangesMessage message = {.part = part, .changes = changes};
  for (StoreChange& change : message.changes.changes) {
    if (IsOversized(part, change.entry)) {
      change.entry.value.clear();
    }
  }
  if (!ApplyChangesAndNotify(message)) {
    // The missing changes can only be found by reading the prefix again.
    watcher(part).Reload();
  }
}

void StoreReplica::ApplySnapshotAndNotify(
    ReplicaPart part,
    int64_t revision,
    const std::vector<StoreEntry>& entries,
    bool was_unreachable) {
  const bool is_first_snapshot = !is_loaded(part);
  const bool is_newer = revision > state(part).revision;
  const auto changes = ApplySnapshot(mutable_state(part), revision, entries);
  if (!changes) {
    dependencies_.log.Write(
        "snapshot_ignored",
        {{"part", std::to_string(static_cast<int>(part))},
         {"revision", std::to_string(revision)},
         {"own_revision", std::to_string(state(part).revision)}});
    return;
  }
  if (was_unreachable) {
    outage_end_times_[static_cast<size_t>(part)] = dependencies_.clock.Now();
  }
  // The consumer needs a snapshot without changes as well: it ends the grace
  // period in which entries with expired leases are kept.
  if (HasEntryAfter(state(part), revision)) {
    // The copy has kept what is newer than the snapshot.
    consumer_.on_snapshot(part, CopyEntries(state(part)), was_unreachable);
  } else {
    consumer_.on_snapshot(part, entries, was_unreachable);
  }
  // Only new changes are forwarded. Nodes subscribe to one another, and would
  // otherwise forward the same snapshot forever.
  if (is_first_snapshot) {
    for (ReplicaObserver* const observer : observers_) {
      observer->OnReplicaSnapshot(part);
    }
  } else if (is_newer && !changes->changes.empty()) {
    NotifyObservers({.part = part,
                     .changes = *changes,
                     .is_after_outage = was_unreachable});
  }
}

bool StoreReplica::ApplyChangesAndNotify(const ChangesMessage& message) {
  const ReplicaPart part = message.part;
  auto applied = ApplyChanges(mutable_state(part), message.changes);
  if (!applied) {
    return false;
  }
  if (applied->changes.empty()) {
    return true;
  }
  if (message.is_after_outage) {
    outage_end_times_[static_cast<size_t>(part)] = dependencies_.clock.Now();
    consumer_.on_snapshot(part, CopyEntries(state(part)),
                          /*was_unreachable=*/true);
  } else {
    for (const StoreChange& change : applied->changes) {
      consumer_.on_change(part, change);
    }
  }
  NotifyObservers({.part = part,
                   .changes = *std::move(applied),
                   .is_after_outage = message.is_after_outage});
  return true;
}

void StoreReplica::NotifyObservers(const ChangesMessage& message) {
  for (ReplicaObserver* const observer : observers_) {
    observer->OnReplicaChanges(message);
  }
}

void StoreReplica::RecordStoreContact(TimePoint contact) {
  last_store_contact_ =
      last_store_contact_ ? std::max(*last_store_contact_, contact) : contact;
}

}  // namespace peridotmill
