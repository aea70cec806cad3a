#include "peridotmill_gateway/replication/prefix_state.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace peridotmill {
namespace {

// Changes kept for nodes that subscribe again. A node that has missed more of
// them receives a snapshot.
constexpr size_t kMaxHistoryChanges = 512;
// Limit on the total size of the values in the kept changes.
constexpr size_t kMaxHistoryValueBytes = size_t{128} << 10;

void AppendToHistory(PrefixState& state, const StoreChange& change) {
  state.history.push_back(change);
  state.history_value_bytes += change.entry.value.size();
  while (state.history.size() > kMaxHistoryChanges ||
         state.history_value_bytes > kMaxHistoryValueBytes) {
    const StoreEntry& oldest = state.history.front().entry;
    state.history_start_revision = oldest.mod_revision;
    state.history_value_bytes -= oldest.value.size();
    state.history.pop_front();
  }
}

// Replaced values of at least this size are kept.
constexpr size_t kMinReplacedValueBytes = size_t{16} << 10;
constexpr size_t kMaxReplacedValues = 2;

void KeepReplacedValue(PrefixState& state, StoreEntry entry) {
  if (entry.value.size() < kMinReplacedValueBytes) {
    return;
  }
  state.replaced_values.push_back(std::move(entry));
  if (state.replaced_values.size() > kMaxReplacedValues) {
    state.replaced_values.pop_front();
  }
}

// Returns whether the change was new.
bool ApplyChange(PrefixState& state, const StoreChange& change) {
  const auto existing = state.entries.find(change.entry.key);
  // The later pages of a snapshot may contain entries that are newer than the
  // snapshot's revision.
  if (existing != state.entries.end() &&
      existing->second.mod_revision >= change.entry.mod_revision) {
    return false;
  }
  if (existing != state.entries.end()) {
    KeepReplacedValue(state, std::move(existing->second));
  }
  if (change.is_removed) {
    if (existing != state.entries.end()) {
      state.entries.erase(existing);
    }
  } else {
    state.entries[change.entry.key] = change.entry;
  }
  return true;
}

}  // namespace

std::optional<PrefixChanges> ApplySnapshot(
    PrefixState& state,
    int64_t revision,
    const std::vector<StoreEntry>& entries) {
  if (revision < state.revision) {
    return std::nullopt;
  }
  std::vector<StoreChange> candidates;
  std::set<std::string_view> snapshot_keys;
  for (const StoreEntry& entry : entries) {
    snapshot_keys.insert(entry.key);
    candidates.push_back({.entry = entry});
  }
  for (const auto& [key, entry] : state.entries) {
    // An absent key that is newer than the snapshot was written after the
    // snapshot was read, and has not been removed.
    if (!snapshot_keys.contains(key) && entry.mod_revision <= revision) {
      StoreChange removal = {.is_removed = true};
      removal.entry.key = key;
      removal.entry.mod_revision = revision;
      candidates.push_back(std::move(removal));
    }
  }
  const bool is_first_snapshot = state.revision == 0;
  PrefixChanges changes = {.after_revision = state.last_change_revision,
                           .revision = revision};
  for (StoreChange& change : candidates) {
    if (ApplyChange(state, change)) {
      changes.changes.push_back(std::move(change));
    }
  }
  state.revision = revision;
  if (is_first_snapshot) {
    state.last_change_revision = revision;
    state.history_start_revision = revision;
  } else if (!changes.changes.empty()) {
    for (const StoreChange& change : changes.changes) {
      AppendToHistory(state, change);
    }
    state.last_change_revision = revision;
  }
  return changes;
}

std::optional<PrefixChanges> ApplyChanges(PrefixState& state,
                                          const PrefixChanges& changes) {
  if (state.revision == 0 || changes.after_revision > state.revision) {
    return std::nullopt;
  }
  PrefixChanges applied = {
      .after_revision = state.last_change_revision,
      .revision = std::max(state.revision, changes.revision)};
  for (const StoreChange& change : changes.changes) {
    if (change.entry.mod_revision > state.revision &&
        ApplyChange(state, change)) {
      AppendToHistory(state, change);
      applied.changes.push_back(change);
    }
  }
  state.revision = applied.revision;
  if (!applied.changes.empty()) {
    state.last_change_revision = applied.revision;
  }
  return applied;
}

std::optional<PrefixChanges> ChangesSince(const PrefixState& state,
                                          int64_t revision) {
  if (state.revision == 0 || revision < state.history_start_revision) {
    return std::nullopt;
  }
  PrefixChanges since = {.after_revision = revision,
                         .revision = std::max(revision, state.revision)};
  for (const StoreChange& change : state.history) {
    if (change.entry.mod_revision > revision) {
      since.changes.push_back(change);
    }
  }
  return since;
}

const StoreEntry* FindVersion(const PrefixState& state,
                              const std::string& key,
                              int64_t mod_revision) {
  const auto current = state.entries.find(key);
  if (current != state.entries.end() &&
      current->second.mod_revision == mod_revision) {
    return &current->second;
  }
  const auto replaced = std::find_if(
      state.replaced_values.begin(), state.replaced_values.end(),
      [&](const StoreEntry& entry) {
        return entry.key == key && entry.mod_revision == mod_revision;
      });
  return replaced == state.replaced_values.end() ? nullptr : &*replaced;
}

std::vector<StoreEntry> CopyEntries(const PrefixState& state) {
  std::vector<StoreEntry> entries;
  entries.reserve(state.entries.size());
  for (const auto& [key, entry] : state.entries) {
    entries.push_back(entry);
  }
  return entries;
}

}  // namespace peridotmill
