#ifndef PERIDOTMILL_NODE_STATE_ACTIVE_CONFIG_H_
#define PERIDOTMILL_NODE_STATE_ACTIVE_CONFIG_H_

#include <memory>
#include <string>
#include <unordered_map>

#include "peridotmill_config/peridotmill_config.h"
#include "peridotmill_core/peridotmill_core.h"

namespace peridotmill {

// The configuration in force with look-ups by token.
struct ActiveConfig {
  Revision revision;
  std::shared_ptr<const ObjectSet> objects;
  // By SHA-256 of the token.
  std::unordered_map<std::string, TeamId> teams_by_token;
  std::unordered_map<std::string, OperatorId> operators_by_token;
};

ActiveConfig MakeActiveConfig(Revision revision,
                              std::shared_ptr<const ObjectSet> objects);

// The team of a bearer token, or null.
const Team* FindTeam(const ActiveConfig& config, const std::string& token);

bool IsOperator(const ActiveConfig& config, const std::string& token);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_STATE_ACTIVE_CONFIG_H_
