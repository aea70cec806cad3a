#include "peridotmill_node/state/active_config.h"

#include <utility>

namespace peridotmill {

ActiveConfig MakeActiveConfig(Revision revision,
                              std::shared_ptr<const ObjectSet> objects) {
  ActiveConfig config;
  config.revision = revision;
  for (const auto& [name, team] : objects->teams) {
    config.teams_by_token.emplace(team.token_sha256, name);
  }
  for (const auto& [name, person] : objects->operators) {
    config.operators_by_token.emplace(person.token_sha256, name);
  }
  config.objects = std::move(objects);
  return config;
}

const Team* FindTeam(const ActiveConfig& config, const std::string& token) {
  const auto known = config.teams_by_token.find(Sha256Hex(token));
  return known == config.teams_by_token.end()
             ? nullptr
             : &config.objects->teams.at(known->second);
}

bool IsOperator(const ActiveConfig& config, const std::string& token) {
  return config.operators_by_token.contains(Sha256Hex(token));
}

}  // namespace peridotmill
