#ifndef PERIDOTMILL_CONFIG_DISTRIBUTION_CONFIG_ASSEMBLY_H_
#define PERIDOTMILL_CONFIG_DISTRIBUTION_CONFIG_ASSEMBLY_H_

#include <map>
#include <memory>
#include <string>

#include "peridotmill_config/objects/object_set.h"
#include "peridotmill_config/parts/head.h"
#include "peridotmill_core/errors/finding.h"
#include "tl/expected.hpp"

namespace peridotmill {

// Contents of parts by digest.
using PartContents = std::map<std::string, std::string>;

// Builds the set of `head` and checks it as a whole. Objects of parts that did
// not change since `previous` are copied, not parsed again: parsing all of
// 30,000 teams would hold up the node's only thread.
// `previous` may be null; `contents` holds the parts of both heads.
tl::expected<std::shared_ptr<const ObjectSet>, Findings> AssembleConfig(
    const ConfigHead& head,
    const ConfigHead* previous_head,
    const ObjectSet* previous,
    const PartContents& contents);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_DISTRIBUTION_CONFIG_ASSEMBLY_H_
