#include "peridotmill_config/distribution/config_assembly.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "peridotmill_config/parts/part.h"
#include "peridotmill_config/validation/object_validator.h"

namespace peridotmill {
namespace {

bool Names(const ConfigHead& head, const std::string& digest) {
  return std::any_of(
      head.parts.begin(), head.parts.end(),
      [&digest](const PartReference& part) { return part.digest == digest; });
}

template <typename Map>
void EraseAll(const Map& removed, Map& from) {
  for (const auto& [name, object] : removed) {
    from.erase(name);
  }
}

void RemoveObjects(const ObjectSet& removed, ObjectSet& from) {
  EraseAll(removed.pools, from.pools);
  EraseAll(removed.model_versions, from.model_versions);
  EraseAll(removed.stages, from.stages);
  EraseAll(removed.pipelines, from.pipelines);
  EraseAll(removed.priorities, from.priorities);
  EraseAll(removed.teams, from.teams);
  EraseAll(removed.operators, from.operators);
}

Result<void> MergeNamed(const ConfigHead& head,
                        const ConfigHead* known,
                        const PartContents& contents,
                        ObjectSet& objects) {
  for (const PartReference& part : head.parts) {
    if (known != nullptr && Names(*known, part.digest)) {
      continue;
    }
    const auto content = contents.find(part.digest);
    if (content == contents.end()) {
      return tl::unexpected(make_error_code(Error::kNotFound));
    }
    const Result<void> merged = MergePart(content->second, objects);
    if (!merged) {
      return merged;
    }
  }
  return {};
}

}  // namespace

tl::expected<std::shared_ptr<const ObjectSet>, Findings> AssembleConfig(
    const ConfigHead& head,
    const ConfigHead* previous_head,
    const ObjectSet* previous,
    const PartContents& contents) {
  auto objects = std::make_shared<ObjectSet>();
  if (previous != nullptr && previous_head != nullptr) {
    *objects = *previous;
    ObjectSet removed;
    const Result<void> read =
        MergeNamed(*previous_head, &head, contents, removed);
    if (!read) {
      return tl::unexpected(Findings{{{}, read.error().message()}});
    }
    RemoveObjects(removed, *objects);
  } else {
    previous_head = nullptr;
  }
  const Result<void> merged =
      MergeNamed(head, previous_head, contents, *objects);
  if (!merged) {
    return tl::unexpected(Findings{{{}, merged.error().message()}});
  }
  Findings findings = ValidateObjects(*objects, {});
  if (!findings.empty()) {
    return tl::unexpected(std::move(findings));
  }
  return objects;
}

}  // namespace peridotmill
