#ifndef PERIDOTCTL_OBJECT_DIFF_H_
#define PERIDOTCTL_OBJECT_DIFF_H_

#include <string>
#include <vector>

#include "peridotmill_config/objects/object_set.h"

namespace peridotmill {

// One line for each object that differs: "+ Kind/name" when added, "-
// Kind/name" when removed, "~ Kind/name: field: old -> new, ..." when changed.
// Token hashes are not shown.
std::vector<std::string> DiffObjects(const ObjectSet& from,
                                     const ObjectSet& to);

}  // namespace peridotmill

#endif  // PERIDOTCTL_OBJECT_DIFF_H_
