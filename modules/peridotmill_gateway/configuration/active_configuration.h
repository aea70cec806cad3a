#ifndef PERIDOTMILL_GATEWAY_CONFIGURATION_ACTIVE_CONFIGURATION_H_
#define PERIDOTMILL_GATEWAY_CONFIGURATION_ACTIVE_CONFIGURATION_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "peridotmill_gateway/configuration/gateway_config.h"

namespace peridotmill {

// A configuration with indexes for look-ups. Requests keep a reference to the
// configuration under which they were accepted.
class ActiveConfiguration {
 public:
  explicit ActiveConfiguration(GatewayConfig config);
  ActiveConfiguration(const ActiveConfiguration&) = delete;
  ActiveConfiguration& operator=(const ActiveConfiguration&) = delete;

  // Returns the route of this host with the longest path prefix that matches
  // `path`, or null.
  const RouteDefinition* FindRoute(std::string_view host,
                                   std::string_view path) const;
  // Returns the team that has this key, or null.
  const TeamDefinition* FindTeam(std::string_view key) const;
  const PoolDefinition* FindPool(const PoolId& id) const;
  // Returns the name of the group that a stage pool belongs to. The stage pools
  // of one route are in the same group, as are those of routes that have a
  // stage pool in common.
  const PoolId& StagePoolGroup(const PoolId& pool) const;
  // Returns the group whose coordinator passes on what concerns all nodes, the
  // same for all of them: the first group of stages, or an empty id.
  PoolId NewsGroup() const;

  const GatewayConfig& config() const { return config_; }

 private:
  void GroupStagePools();

  GatewayConfig config_;
  std::unordered_map<PoolId, PoolId> stage_pool_groups_;
  // The routes of each host, those with the longest path prefix first.
  std::unordered_map<std::string_view, std::vector<const RouteDefinition*>>
      routes_by_host_;
  std::unordered_map<std::string_view, const TeamDefinition*> teams_by_key_;
  std::unordered_map<PoolId, const PoolDefinition*> pools_by_id_;
};

using ActiveConfigurationPtr = std::shared_ptr<const ActiveConfiguration>;

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_CONFIGURATION_ACTIVE_CONFIGURATION_H_
