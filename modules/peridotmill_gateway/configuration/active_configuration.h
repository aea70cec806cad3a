#ifndef PERIDOTMILL_GATEWAY_CONFIGURATION_ACTIVE_CONFIGURATION_H_
#define PERIDOTMILL_GATEWAY_CONFIGURATION_ACTIVE_CONFIGURATION_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "peridotmill_gateway/configuration/gateway_config.h"

namespace peridotmill {

// A configuration prepared for look-ups. Requests keep the one under which they
// were accepted.
class ActiveConfiguration {
 public:
  explicit ActiveConfiguration(GatewayConfig config);
  ActiveConfiguration(const ActiveConfiguration&) = delete;
  ActiveConfiguration& operator=(const ActiveConfiguration&) = delete;

  // The route of this host whose prefix is the longest that begins `path`.
  const RouteDefinition* FindRoute(std::string_view host,
                                   std::string_view path) const;
  const TeamDefinition* FindTeam(std::string_view key) const;
  const PoolDefinition* FindPool(const PoolId& id) const;
  // Names the group that a stage pool belongs to: pools that the stages of one
  // route share, directly or through other routes, are in one group.
  const PoolId& StagePoolGroup(const PoolId& pool) const;

  const GatewayConfig& config() const { return config_; }

 private:
  void GroupStagePools();

  GatewayConfig config_;
  std::unordered_map<PoolId, PoolId> stage_groups_;
  // Routes of each host, longest prefix first.
  std::unordered_map<std::string_view, std::vector<const RouteDefinition*>>
      routes_by_host_;
  std::unordered_map<std::string_view, const TeamDefinition*> teams_by_key_;
  std::unordered_map<PoolId, const PoolDefinition*> pools_by_id_;
};

using ActiveConfigurationPtr = std::shared_ptr<const ActiveConfiguration>;

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_CONFIGURATION_ACTIVE_CONFIGURATION_H_
