#ifndef PERIDOTMILL_GATEWAY_REPLICATION_PREFIX_STATE_H_
#define PERIDOTMILL_GATEWAY_REPLICATION_PREFIX_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "peridotmill_gateway/store/store_channel.h"

namespace peridotmill {

// All changes of a prefix with revisions in (after_revision, revision]. The
// mod_revision of a removed entry is the revision of the event or snapshot that
// showed the removal.
struct PrefixChanges {
  int64_t after_revision = 0;
  int64_t revision = 0;
  std::vector<StoreChange> changes;
};

// A node's copy of the entries under one key prefix of the store. Updates come
// from the store or from other nodes; the copy never goes back to an earlier
// revision.
struct PrefixState {
  // Store revision up to which the copy is complete; 0 before the first
  // snapshot.
  int64_t revision = 0;
  // Store revision of the latest update that changed an entry.
  int64_t last_change_revision = 0;
  std::map<std::string, StoreEntry> entries;
  // All changes after `history_start_revision`, oldest first.
  std::deque<StoreChange> history;
  int64_t history_start_revision = 0;
  // Total size of the values in `history`.
  size_t history_value_bytes = 0;
  // The latest large values that were replaced, oldest first. Differences to
  // them are sent to nodes that still have them.
  std::deque<StoreEntry> replaced_values;
};

// Replaces the entries by a complete snapshot of the prefix and returns the
// differences. Returns nullopt and changes nothing if the state is of a later
// revision than the snapshot.
std::optional<PrefixChanges> ApplySnapshot(
    PrefixState& state,
    int64_t revision,
    const std::vector<StoreEntry>& entries);

// Applies changes and returns those that were new. Returns nullopt and changes
// nothing if there is no snapshot yet or if the changes begin after the state's
// revision, which leaves a gap.
std::optional<PrefixChanges> ApplyChanges(PrefixState& state,
                                          const PrefixChanges& changes);

// Returns the changes after a revision, or nullopt if the history does not
// reach back to it.
std::optional<PrefixChanges> ChangesSince(const PrefixState& state,
                                          int64_t revision);

// Returns a version of an entry that is current or was replaced lately, or
// null.
const StoreEntry* FindVersion(const PrefixState& state,
                              const std::string& key,
                              int64_t mod_revision);

std::vector<StoreEntry> CopyEntries(const PrefixState& state);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REPLICATION_PREFIX_STATE_H_
