#ifndef PERIDOTMILL_CONFIG_PARTS_PART_H_
#define PERIDOTMILL_CONFIG_PARTS_PART_H_

#include <string>
#include <vector>

#include "peridotmill_config/objects/object_set.h"
#include "peridotmill_core/errors/error.h"

namespace peridotmill {

// Teams are spread over this many parts, so that 30,000 teams stay far below
// the store's 1 MB a value and an edit of one team sends one part.
inline constexpr int kTeamParts = 64;

// An immutable piece of a configuration, named by the digest of its content.
struct Part {
  // "pools", "teams/17" and so on.
  std::string name;
  std::string digest;
  // Canonical JSON.
  std::string content;
};

// Splits a set into parts. Equal sets give equal parts.
std::vector<Part> SplitIntoParts(const ObjectSet& objects);

// Reads one part's content into `objects`.
// Errors: kMalformed.
Result<void> MergePart(const std::string& content, ObjectSet& objects);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_PARTS_PART_H_
