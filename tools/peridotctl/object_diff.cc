#include "peridotctl/object_diff.h"

#include <nlohmann/json.hpp>

#include "peridotmill_config/parts/object_json.h"

namespace peridotmill {
namespace {

using nlohmann::json;

constexpr char kTokenField[] = "token_sha256";

// "field: old -> new" for each field that differs.
std::string DiffFields(const json& from, const json& to) {
  std::string text;
  for (const auto& [field, value] : to.items()) {
    const json& before = from.at(field);
    if (before == value) {
      continue;
    }
    text += (text.empty() ? "" : ", ") + field;
    text += field == kTokenField ? " changed"
                                 : ": " + before.dump() + " -> " + value.dump();
  }
  return text;
}

void DiffObject(const std::string& name,
                const json& from,
                const json& to,
                std::vector<std::string>& lines) {
  if (from != to) {
    lines.push_back("~ " + name + ": " + DiffFields(from, to));
  }
}

template <typename Map>
void DiffMap(const std::string& kind,
             const Map& from,
             const Map& to,
             std::vector<std::string>& lines) {
  for (const auto& [name, object] : from) {
    if (!to.contains(name)) {
      lines.push_back("- " + kind + "/" + name.value());
    }
  }
  for (const auto& [name, object] : to) {
    const std::string full_name = kind + "/" + name.value();
    if (const auto found = from.find(name); found == from.end()) {
      lines.push_back("+ " + full_name);
    } else {
      DiffObject(full_name, ToJson(found->second), ToJson(object), lines);
    }
  }
}

}  // namespace

std::vector<std::string> DiffObjects(const ObjectSet& from,
                                     const ObjectSet& to) {
  std::vector<std::string> lines;
  DiffObject("Deployment/" + to.deployment.name, ToJson(from.deployment),
             ToJson(to.deployment), lines);
  DiffMap("Priority", from.priorities, to.priorities, lines);
  DiffMap("Pool", from.pools, to.pools, lines);
  DiffMap("ModelVersion", from.model_versions, to.model_versions, lines);
  DiffMap("Stage", from.stages, to.stages, lines);
  DiffMap("Pipeline", from.pipelines, to.pipelines, lines);
  DiffMap("Operator", from.operators, to.operators, lines);
  DiffMap("Team", from.teams, to.teams, lines);
  return lines;
}

}  // namespace peridotmill
