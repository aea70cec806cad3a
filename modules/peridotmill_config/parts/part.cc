#include "peridotmill_config/parts/part.h"

#include <nlohmann/json.hpp>

#include "peridotmill_config/parts/object_json.h"
#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {
namespace {

Part MakePart(std::string name, const nlohmann::json& content) {
  Part part;
  part.name = std::move(name);
  part.content = content.dump();
  part.digest = ContentDigest(part.content);
  return part;
}

template <typename Map>
nlohmann::json ListOf(const Map& map) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [name, object] : map) {
    list.push_back(ToJson(object));
  }
  return list;
}

template <typename Map>
void MergeList(const nlohmann::json& content, const char* kind, Map& map) {
  const auto list = content.find(kind);
  if (list == content.end()) {
    return;
  }
  for (const nlohmann::json& element : *list) {
    typename Map::mapped_type object;
    FromJson(element, object);
    map.insert_or_assign(object.name, std::move(object));
  }
}

}  // namespace

std::vector<Part> SplitIntoParts(const ObjectSet& objects) {
  std::vector<Part> parts;
  parts.push_back(MakePart("pools", {{"pools", ListOf(objects.pools)}}));
  parts.push_back(MakePart(
      "model_versions", {{"model_versions", ListOf(objects.model_versions)}}));
  parts.push_back(MakePart("stages", {{"stages", ListOf(objects.stages)}}));
  parts.push_back(
      MakePart("pipelines", {{"pipelines", ListOf(objects.pipelines)}}));
  parts.push_back(
      MakePart("priorities", {{"priorities", ListOf(objects.priorities)}}));
  parts.push_back(
      MakePart("operators", {{"operators", ListOf(objects.operators)}}));
  parts.push_back(
      MakePart("deployment", {{"deployment", ToJson(objects.deployment)}}));

  std::vector<nlohmann::json> team_lists(kTeamParts, nlohmann::json::array());
  for (const auto& [name, team] : objects.teams) {
    team_lists[Hash64(name.value()) % kTeamParts].push_back(ToJson(team));
  }
  for (int i = 0; i < kTeamParts; ++i) {
    if (!team_lists[i].empty()) {
      parts.push_back(MakePart("teams/" + std::to_string(i),
                               {{"teams", std::move(team_lists[i])}}));
    }
  }
  return parts;
}

Result<void> MergePart(const std::string& content, ObjectSet& objects) {
  const auto json = nlohmann::json::parse(content, nullptr, false);
  if (!json.is_object()) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  try {
    MergeList(json, "pools", objects.pools);
    MergeList(json, "model_versions", objects.model_versions);
    MergeList(json, "stages", objects.stages);
    MergeList(json, "pipelines", objects.pipelines);
    MergeList(json, "priorities", objects.priorities);
    MergeList(json, "operators", objects.operators);
    MergeList(json, "teams", objects.teams);
    if (const auto found = json.find("deployment"); found != json.end()) {
      FromJson(*found, objects.deployment);
    }
  } catch (const nlohmann::json::exception&) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  return {};
}

}  // namespace peridotmill
