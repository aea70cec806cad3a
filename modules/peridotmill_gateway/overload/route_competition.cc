#include "peridotmill_gateway/overload/route_competition.h"

#include <map>

namespace peridotmill {

bool DoRoutesCompeteForStages(const GatewayConfig& config) {
  std::map<PoolId, int> priorities;
  for (const RouteDefinition& route : config.routes) {
    for (const StageDefinition& stage : route.stages) {
      const auto [entry, is_new] =
          priorities.emplace(stage.pool, route.priority);
      if (!is_new && entry->second != route.priority) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace peridotmill
