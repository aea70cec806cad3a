#ifndef PERIDOTMILL_CONFIG_OBJECTS_CRITICAL_PATH_H_
#define PERIDOTMILL_CONFIG_OBJECTS_CRITICAL_PATH_H_

#include <chrono>
#include <optional>

#include "peridotmill_config/objects/object_set.h"

namespace peridotmill {

// Sum of the prior medians along the pipeline's longest path, or nothing when
// its stages depend on each other in a cycle. All stages must exist.
std::optional<std::chrono::milliseconds> CriticalPath(const Pipeline& pipeline,
                                                      const ObjectSet& objects);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_OBJECTS_CRITICAL_PATH_H_
