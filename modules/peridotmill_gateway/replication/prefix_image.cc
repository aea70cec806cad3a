#include "peridotmill_gateway/replication/prefix_image.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace peridotmill {
namespace {

// Changes kept for nodes that subscribe again. One that needs more gets a
// snapshot.
constexpr size_t kMaxHistory = 512;
// Bytes of values that the kept changes may hold.
constexpr size_t kMaxHistoryBytes = size_t{128} << 10;

void Remember(PrefixImage& image, const StoreChange& change) {
  image.history.push_back(change);
  image.history_bytes += change.entry.value.size();
  while (image.history.size() > kMaxHistory ||
         image.history_bytes > kMaxHistoryBytes) {
    const StoreEntry& oldest = image.history.front().entry;
    image.history_start = oldest.mod_revision;
    image.history_bytes -= oldest.value.size();
    image.history.pop_front();
  }
}

// Returns whether the change was new.
bool ApplyChange(PrefixImage& image, const StoreChange& change) {
  const auto known = image.entries.find(change.entry.key);
  // Later pages of a reading may hold entries that are newer than its revision.
  if (known != image.entries.end() &&
      known->second.mod_revision >= change.entry.mod_revision) {
    return false;
  }
  if (change.is_removed) {
    if (known != image.entries.end()) {
      image.entries.erase(known);
    }
  } else {
    image.entries[change.entry.key] = change.entry;
  }
  return true;
}

}  // namespace

std::optional<PrefixChanges> AdoptSnapshot(
    PrefixImage& image,
    int64_t revision,
    const std::vector<StoreEntry>& entries) {
  if (revision < image.revision) {
    return std::nullopt;
  }
  std::vector<StoreChange> found;
  std::set<std::string_view> present;
  for (const StoreEntry& entry : entries) {
    present.insert(entry.key);
    found.push_back({.entry = entry});
  }
  for (const auto& [key, entry] : image.entries) {
    // A key that is newer than the reading was made after it.
    if (!present.contains(key) && entry.mod_revision <= revision) {
      StoreChange removal = {.is_removed = true};
      removal.entry.key = key;
      removal.entry.mod_revision = revision;
      found.push_back(std::move(removal));
    }
  }
  const bool is_first = image.revision == 0;
  PrefixChanges changes = {.after_revision = image.changed_revision,
                           .revision = revision};
  for (StoreChange& change : found) {
    if (ApplyChange(image, change)) {
      changes.changes.push_back(std::move(change));
    }
  }
  image.revision = revision;
  if (is_first) {
    image.changed_revision = revision;
    image.history_start = revision;
  } else if (!changes.changes.empty()) {
    for (const StoreChange& change : changes.changes) {
      Remember(image, change);
    }
    image.changed_revision = revision;
  }
  return changes;
}

std::optional<PrefixChanges> ApplyChanges(PrefixImage& image,
                                          const PrefixChanges& changes) {
  if (image.revision == 0 || changes.after_revision > image.revision) {
    return std::nullopt;
  }
  PrefixChanges applied = {
      .after_revision = image.changed_revision,
      .revision = std::max(image.revision, changes.revision)};
  for (const StoreChange& change : changes.changes) {
    if (change.entry.mod_revision > image.revision &&
        ApplyChange(image, change)) {
      Remember(image, change);
      applied.changes.push_back(change);
    }
  }
  image.revision = applied.revision;
  if (!applied.changes.empty()) {
    image.changed_revision = applied.revision;
  }
  return applied;
}

std::optional<PrefixChanges> ChangesSince(const PrefixImage& image,
                                          int64_t revision) {
  if (image.revision == 0 || revision < image.history_start) {
    return std::nullopt;
  }
  PrefixChanges since = {.after_revision = revision,
                         .revision = std::max(revision, image.revision)};
  for (const StoreChange& change : image.history) {
    if (change.entry.mod_revision > revision) {
      since.changes.push_back(change);
    }
  }
  return since;
}

std::vector<StoreEntry> EntriesOf(const PrefixImage& image) {
  std::vector<StoreEntry> entries;
  entries.reserve(image.entries.size());
  for (const auto& [key, entry] : image.entries) {
    entries.push_back(entry);
  }
  return entries;
}

}  // namespace peridotmill
