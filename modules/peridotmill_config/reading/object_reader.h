#ifndef PERIDOTMILL_CONFIG_READING_OBJECT_READER_H_
#define PERIDOTMILL_CONFIG_READING_OBJECT_READER_H_

#include <map>
#include <string>

#include "peridotmill_config/objects/object_set.h"
#include "peridotmill_core/errors/finding.h"

namespace peridotmill {

// Where each object was read: "Kind/name" to its place.
using ObjectPlaces = std::map<std::string, InputLocation>;

// Reads the YAML documents of one file into `objects`. Unknown kinds, fields
// and values, wrong types and repeated names become findings. May be called
// once for each file of a set.
void ReadObjects(const std::string& text,
                 const std::string& file,
                 ObjectSet& objects,
                 ObjectPlaces& places,
                 Findings& findings);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_READING_OBJECT_READER_H_
