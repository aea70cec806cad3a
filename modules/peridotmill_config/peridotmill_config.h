// peridotmill_config: the operators' objects.
//
// Reads objects from YAML, checks them as a whole set, splits a set into
// immutable parts named by a head record, and reads parts back. Publishes sets
// to the store and brings each node to the newest published revision.
//
// Dependencies: peridotmill_core, yaml-cpp, nlohmann-json.

#ifndef PERIDOTMILL_CONFIG_PERIDOTMILL_CONFIG_H_
#define PERIDOTMILL_CONFIG_PERIDOTMILL_CONFIG_H_

#include "peridotmill_config/distribution/config_assembly.h"
#include "peridotmill_config/distribution/config_distribution.h"
#include "peridotmill_config/objects/critical_path.h"
#include "peridotmill_config/objects/enum_names.h"
#include "peridotmill_config/objects/object_set.h"
#include "peridotmill_config/parts/head.h"
#include "peridotmill_config/parts/part.h"
#include "peridotmill_config/publishing/object_difference.h"
#include "peridotmill_config/publishing/publication.h"
#include "peridotmill_config/reading/object_reader.h"
#include "peridotmill_config/reading/object_writer.h"
#include "peridotmill_config/validation/object_validator.h"

#endif  // PERIDOTMILL_CONFIG_PERIDOTMILL_CONFIG_H_
