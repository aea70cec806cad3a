#ifndef PERIDOTMILL_CONFIG_PUBLISHING_OBJECT_DIFFERENCE_H_
#define PERIDOTMILL_CONFIG_PUBLISHING_OBJECT_DIFFERENCE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "peridotmill_config/objects/object_set.h"

namespace peridotmill {

enum class ChangeKind : uint8_t { kAdded, kRemoved, kChanged };

// How one object of a set differs from another set's.
struct ObjectChange {
  ChangeKind change = ChangeKind::kChanged;
  // "Kind/name".
  std::string object;
  // Changed fields, for kChanged only.
  std::vector<std::string> fields;

  friend bool operator==(const ObjectChange&, const ObjectChange&) = default;
};

// What turns `from` into `to`, by kind and then name. Empty for equal sets.
std::vector<ObjectChange> ObjectDifference(const ObjectSet& from,
                                           const ObjectSet& to);

// One line: "added Pool/engines" or "changed Stage/answer: path, price".
std::string ToString(const ObjectChange& change);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_PUBLISHING_OBJECT_DIFFERENCE_H_
