#include "peridotmill_gateway/configuration/active_configuration.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace peridotmill {

ActiveConfiguration::ActiveConfiguration(GatewayConfig config)
    : config_(std::move(config)) {
  for (const RouteDefinition& route : config_.routes) {
    routes_by_host_[route.host].push_back(&route);
  }
  for (auto& [host, routes] : routes_by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const RouteDefinition* a, const RouteDefinition* b) {
                       return a->path_prefix.size() > b->path_prefix.size();
                     });
  }
  for (const TeamDefinition& team : config_.teams) {
    for (const std::string& key : team.keys) {
      teams_by_key_.emplace(key, &team);
    }
  }
  for (const PoolDefinition& pool : config_.pools) {
    pools_by_id_.emplace(pool.id, &pool);
  }
  GroupStagePools();
}

void ActiveConfiguration::GroupStagePools() {
  // Assigns to all stage pools of a route the smallest of their group names
  // until nothing changes. Each group is then named after its smallest pool id.
  bool has_changed = true;
  while (has_changed) {
    has_changed = false;
    for (const RouteDefinition& route : config_.routes) {
      std::optional<PoolId> smallest;
      for (const StageDefinition& stage : route.stages) {
        const PoolId& group =
            stage_pool_groups_.try_emplace(stage.pool, stage.pool)
                .first->second;
        smallest = smallest ? std::min(*smallest, group) : group;
      }
      for (const StageDefinition& stage : route.stages) {
        PoolId& group = stage_pool_groups_[stage.pool];
        has_changed = has_changed || group != *smallest;
        group = *smallest;
      }
    }
  }
}

const PoolId& ActiveConfiguration::StagePoolGroup(const PoolId& pool) const {
  const auto group = stage_pool_groups_.find(pool);
  return group == stage_pool_groups_.end() ? pool : group->second;
}

PoolId ActiveConfiguration::NewsGroup() const {
  if (stage_pool_groups_.empty()) {
    return PoolId();
  }
  return std::min_element(
             stage_pool_groups_.begin(), stage_pool_groups_.end(),
             [](const auto& a, const auto& b) { return a.second < b.second; })
      ->second;
}

const RouteDefinition* ActiveConfiguration::FindRoute(
    std::string_view host,
    std::string_view path) const {
  const auto routes = routes_by_host_.find(host);
  if (routes == routes_by_host_.end()) {
    return nullptr;
  }
  const auto route = std::find_if(routes->second.begin(), routes->second.end(),
                                  [&](const RouteDefinition* r) {
                                    return path.starts_with(r->path_prefix);
                                  });
  return route == routes->second.end() ? nullptr : *route;
}

const TeamDefinition* ActiveConfiguration::FindTeam(
    std::string_view key) const {
  const auto team = teams_by_key_.find(key);
  return team == teams_by_key_.end() ? nullptr : team->second;
}

const PoolDefinition* ActiveConfiguration::FindPool(const PoolId& id) const {
  const auto pool = pools_by_id_.find(id);
  return pool == pools_by_id_.end() ? nullptr : pool->second;
}

}  // namespace peridotmill
