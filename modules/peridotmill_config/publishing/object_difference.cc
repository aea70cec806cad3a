#include "peridotmill_config/publishing/object_difference.h"

#include <nlohmann/json.hpp>

#include "peridotmill_config/parts/object_json.h"

namespace peridotmill {
namespace {

using nlohmann::json;

std::vector<std::string> ChangedFields(const json& from, const json& to) {
  std::vector<std::string> fields;
  for (const auto& [field, value] : to.items()) {
    const auto before = from.find(field);
    if (before == from.end() || *before != value) {
      fields.push_back(field);
    }
  }
  return fields;
}

template <typename Object>
void Compare(const std::string& label,
             const Object& from,
             const Object& to,
             std::vector<ObjectChange>& changes) {
  std::vector<std::string> fields = ChangedFields(ToJson(from), ToJson(to));
  if (!fields.empty()) {
    changes.push_back({ChangeKind::kChanged, label, std::move(fields)});
  }
}

// Walks both maps in the order of the names.
template <typename Map>
void CompareMaps(const std::string& kind,
                 const Map& from,
                 const Map& to,
                 std::vector<ObjectChange>& changes) {
  auto old_item = from.begin();
  auto new_item = to.begin();
  while (old_item != from.end() || new_item != to.end()) {
    if (new_item == to.end() ||
        (old_item != from.end() && old_item->first < new_item->first)) {
      changes.push_back(
          {ChangeKind::kRemoved, kind + "/" + old_item->first.value(), {}});
      ++old_item;
    } else if (old_item == from.end() || new_item->first < old_item->first) {
      changes.push_back(
          {ChangeKind::kAdded, kind + "/" + new_item->first.value(), {}});
      ++new_item;
    } else {
      Compare(kind + "/" + new_item->first.value(), old_item->second,
              new_item->second, changes);
      ++old_item;
      ++new_item;
    }
  }
}

}  // namespace

std::vector<ObjectChange> ObjectDifference(const ObjectSet& from,
                                           const ObjectSet& to) {
  std::vector<ObjectChange> changes;
  CompareMaps("Pool", from.pools, to.pools, changes);
  CompareMaps("ModelVersion", from.model_versions, to.model_versions, changes);
  CompareMaps("Stage", from.stages, to.stages, changes);
  CompareMaps("Pipeline", from.pipelines, to.pipelines, changes);
  CompareMaps("Priority", from.priorities, to.priorities, changes);
  CompareMaps("Team", from.teams, to.teams, changes);
  CompareMaps("Operator", from.operators, to.operators, changes);
  Compare("Deployment/" + to.deployment.name, from.deployment, to.deployment,
          changes);
  return changes;
}

std::string ToString(const ObjectChange& change) {
  static constexpr const char* kNames[] = {"added", "removed", "changed"};
  std::string text = kNames[static_cast<size_t>(change.change)];
  text += " " + change.object;
  const char* separator = ": ";
  for (const std::string& field : change.fields) {
    text += separator + field;
    separator = ", ";
  }
  return text;
}

}  // namespace peridotmill
