#include "peridotmill_config/objects/critical_path.h"

#include <algorithm>
#include <map>

namespace peridotmill {

std::optional<std::chrono::milliseconds> CriticalPath(
    const Pipeline& pipeline,
    const ObjectSet& objects) {
  std::map<StageId, std::chrono::milliseconds> finish;
  std::chrono::milliseconds longest{0};
  while (finish.size() < pipeline.stages.size()) {
    const size_t before = finish.size();
    for (const PipelineStage& member : pipeline.stages) {
      const bool ready =
          std::all_of(member.after.begin(), member.after.end(),
                      [&](const StageId& id) { return finish.contains(id); });
      if (!ready || finish.contains(member.stage)) {
        continue;
      }
      std::chrono::milliseconds start{0};
      for (const StageId& id : member.after) {
        start = std::max(start, finish.at(id));
      }
      const auto end =
          start + objects.stages.at(member.stage).service_time.median;
      finish.emplace(member.stage, end);
      longest = std::max(longest, end);
    }
    if (finish.size() == before) {
      return std::nullopt;
    }
  }
  return longest;
}

}  // namespace peridotmill
