#ifndef PERIDOTMILL_CONFIG_VALIDATION_OBJECT_VALIDATOR_H_
#define PERIDOTMILL_CONFIG_VALIDATION_OBJECT_VALIDATOR_H_

#include "peridotmill_config/objects/object_set.h"
#include "peridotmill_config/reading/object_reader.h"
#include "peridotmill_core/errors/finding.h"

namespace peridotmill {

// Checks a whole set: references resolve, pipelines are acyclic and can meet
// their deadlines, tokens are well formed and unique. `places` may be empty.
// @see ReadObjects
Findings ValidateObjects(const ObjectSet& objects, const ObjectPlaces& places);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_VALIDATION_OBJECT_VALIDATOR_H_
