#include "peridotmill_gateway/requests/stage_plan.h"

#include <algorithm>

#include "peridotmill_gateway/stages/batch_queue.h"

namespace peridotmill {

std::vector<PlannedWork> PlanStages(const RouteDefinition& route,
                                    const StageProgress& progress,
                                    const ActiveConfiguration& configuration) {
  const size_t count = route.stages.size();
  std::vector<int> depths(count);
  int longest = 0;
  for (size_t i = 0; i < count; ++i) {
    depths[i] = RemainingChainLength(route.stages, progress, i);
    longest = std::max(longest, depths[i]);
  }
  std::vector<PlannedWork> plan;
  Duration end = Duration::zero();
  // Stages with chains of the same length run in parallel.
  for (int depth = longest; depth > 0; --depth) {
    Duration call_time = Duration::zero();
    const size_t first = plan.size();
    for (size_t i = 0; i < count; ++i) {
      const StageDefinition& stage = route.stages[i];
      const PoolDefinition* const pool = configuration.FindPool(stage.pool);
      if (depths[i] != depth || pool == nullptr || !pool->stage) {
        continue;
      }
      const int items = progress.stages[i].item_count;
      plan.push_back({.pool = stage.pool,
                      .items = items,
                      .result_bytes = items * stage.result_bytes});
      call_time = std::max(
          call_time, PredictCallTime(*pool->stage, pool->stage->batch_size));
    }
    for (size_t i = first; i < plan.size(); ++i) {
      plan[i].start = end;
      plan[i].end = end + call_time;
    }
    end += call_time;
  }
  return plan;
}

}  // namespace peridotmill
