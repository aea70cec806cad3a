#ifndef PERIDOTCTL_OBJECT_FILES_H_
#define PERIDOTCTL_OBJECT_FILES_H_

#include <string>
#include <vector>

#include "peridotmill_config/objects/object_set.h"
#include "peridotmill_core/errors/finding.h"

namespace peridotmill {

struct LoadedObjects {
  ObjectSet objects;
  // Of reading and of validation, together.
  Findings findings;
};

// Reads and checks one set from files and from all *.yaml and *.yml files below
// folders.
LoadedObjects LoadObjects(const std::vector<std::string>& paths);

}  // namespace peridotmill

#endif  // PERIDOTCTL_OBJECT_FILES_H_
