#ifndef PERIDOTMILL_CONFIG_OBJECTS_ENUM_NAMES_H_
#define PERIDOTMILL_CONFIG_OBJECTS_ENUM_NAMES_H_

#include <optional>
#include <string_view>

#include "peridotmill_config/objects/objects.h"

namespace peridotmill {

// Names as operators write them, such as "rerank" or "round-robin".
std::string_view ToString(StageRole role);
std::string_view ToString(RoutingPolicy policy);
std::optional<StageRole> StageRoleFrom(std::string_view name);
std::optional<RoutingPolicy> RoutingPolicyFrom(std::string_view name);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_OBJECTS_ENUM_NAMES_H_
