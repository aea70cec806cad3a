#include "peridotmill_gateway/configuration/config_check.h"

#include <set>
#include <string>
#include <utility>

#include "peridotmill_core/http/head_encoder.h"

namespace peridotmill {
namespace {

class ConfigChecker {
 public:
  explicit ConfigChecker(const GatewayConfig& config) : config_(config) {}

  Findings Check() {
    for (const PoolDefinition& pool : config_.pools) {
      CheckPool(pool);
    }
    for (const RouteDefinition& route : config_.routes) {
      CheckRoute(route);
    }
    for (const TeamDefinition& team : config_.teams) {
      if (!IsFieldValue(team.id.value())) {
        Add("team/" + team.id.value(), "name",
            "holds a character that a header field cannot hold");
      }
    }
    return std::move(findings_);
  }

 private:
  void Add(std::string object, std::string field, std::string message) {
    findings_.push_back(
        {.place = {.object = std::move(object), .field = std::move(field)},
         .message = std::move(message)});
  }

  void CheckPool(const PoolDefinition& pool) {
    const std::string object = "pool/" + pool.id.value();
    if (!pool_ids_.insert(pool.id).second) {
      Add(object, "name", "is used by another pool");
    }
    if (pool.stage && pool.stage->batch_size < 1) {
      Add(object, "stage.batch_size", "must be at least 1");
    }
    if (pool.stage) {
      stage_pool_ids_.insert(pool.id);
    }
  }

  void CheckRoute(const RouteDefinition& route) {
    const std::string object = "route/" + route.name;
    if (route.path_prefix.empty() || route.path_prefix.front() != '/' ||
        route.path_prefix.back() != '/') {
      Add(object, "path_prefix", "must begin and end with a slash");
    }
    if (route.timeout <= Duration::zero()) {
      Add(object, "timeout", "must be positive");
    }
    if (route.max_attempts < 1) {
      Add(object, "max_attempts", "must be at least 1");
    }
    if (route.pools.empty()) {
      Add(object, "pools", "must name at least one pool");
    }
    for (const WeightedPool& weighted_pool : route.pools) {
      if (!pool_ids_.contains(weighted_pool.pool)) {
        Add(object, "pools",
            "refers to the unknown pool " + weighted_pool.pool.value());
      }
      if (weighted_pool.weight < 0) {
        Add(object, "pools",
            "has a negative weight for pool " + weighted_pool.pool.value());
      }
    }
    for (size_t i = 0; i < route.stages.size(); ++i) {
      CheckStage(object, route.stages[i], i);
    }
  }

  void CheckStage(const std::string& object,
                  const StageDefinition& stage,
                  size_t position) {
    if (!stage_pool_ids_.contains(stage.pool)) {
      Add(object, "stages", stage.pool.value() + " is not a stage pool");
    }
    for (const size_t input : stage.after) {
      if (input >= position) {
        Add(object, "stages",
            "stage " + std::to_string(position) +
                " depends on a stage that does not precede it");
      }
    }
  }

  const GatewayConfig& config_;
  std::set<PoolId> pool_ids_;
  std::set<PoolId> stage_pool_ids_;
  Findings findings_;
};

}  // namespace

Findings CheckGatewayConfig(const GatewayConfig& config) {
  return ConfigChecker(config).Check();
}

}  // namespace peridotmill
