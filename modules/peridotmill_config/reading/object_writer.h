#ifndef PERIDOTMILL_CONFIG_READING_OBJECT_WRITER_H_
#define PERIDOTMILL_CONFIG_READING_OBJECT_WRITER_H_

#include <string>

#include "peridotmill_config/objects/object_set.h"

namespace peridotmill {

// Writes a set as YAML documents, one an object. ReadObjects reads the same set
// back.
// @see ReadObjects
std::string WriteObjects(const ObjectSet& objects);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_READING_OBJECT_WRITER_H_
