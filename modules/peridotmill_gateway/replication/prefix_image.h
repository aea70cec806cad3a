#ifndef PERIDOTMILL_GATEWAY_REPLICATION_PREFIX_IMAGE_H_
#define PERIDOTMILL_GATEWAY_REPLICATION_PREFIX_IMAGE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "peridotmill_gateway/store/store_channel.h"

namespace peridotmill {

// All changes of a prefix after one store revision, up to another. A removal
// bears the revision at which it was known.
struct PrefixChanges {
  int64_t after_revision = 0;
  int64_t revision = 0;
  std::vector<StoreChange> changes;
};

// A prefix of the store as one node knows it. It may come from the store or
// from other nodes, and only ever moves to later revisions.
struct PrefixImage {
  // Everything up to this store revision is included; 0 if nothing is known.
  int64_t revision = 0;
  // The latest change is of this revision; there is none after it.
  int64_t changed_revision = 0;
  std::map<std::string, StoreEntry> entries;
  // The latest changes, oldest first, without gaps after `history_start`.
  std::deque<StoreChange> history;
  int64_t history_start = 0;
  // Of the values in `history`.
  size_t history_bytes = 0;
};

// Brings the image to what a whole reading found, and returns the differences.
// Returns nothing, and changes nothing, if the image is of a later revision.
std::optional<PrefixChanges> AdoptSnapshot(
    PrefixImage& image,
    int64_t revision,
    const std::vector<StoreEntry>& entries);

// Applies changes that begin at or before the image's revision, and returns
// those that were new to it. Returns nothing, and changes nothing, if changes
// in between are missing.
std::optional<PrefixChanges> ApplyChanges(PrefixImage& image,
                                          const PrefixChanges& changes);

// The changes after a revision, unless they are no longer kept.
std::optional<PrefixChanges> ChangesSince(const PrefixImage& image,
                                          int64_t revision);

std::vector<StoreEntry> EntriesOf(const PrefixImage& image);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REPLICATION_PREFIX_IMAGE_H_
