#include "peridotmill_routing/estimates/stage_plan.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Time that each stage which is not complete still needs by itself.
using StageTimes = std::map<StageId, Duration>;

StageTimes RemainingTimes(const Pipeline& pipeline,
                          const ObjectSet& objects,
                          const PipelineProgress& progress,
                          ServiceTimeEstimator& estimator,
                          double quantile,
                          TimePoint now) {
  StageTimes times;
  for (const PipelineStage& member : pipeline.stages) {
    if (progress.completed.contains(member.stage)) {
      continue;
    }
    const Stage& stage = objects.stages.at(member.stage);
    const auto running = progress.running.find(member.stage);
    Duration time;
    if (running == progress.running.end()) {
      time =
          ServiceTimeQuantile(estimator, stage, progress.size_class, quantile);
    } else if (running->second.tokens > TokenCount(0)) {
      time = RemainingStreamTime(estimator, stage, progress.size_class,
                                 running->second.tokens, quantile);
    } else {
      time = RemainingCallTime(estimator, stage, progress.size_class,
                               now - running->second.started, quantile);
    }
    times.emplace(member.stage, time);
  }
  return times;
}

// Longest path from the start of each remaining stage to the end of the
// pipeline. Repeats until nothing changes: pipelines have a handful of stages.
StageTimes PathsToEnd(const Pipeline& pipeline, const StageTimes& times) {
  StageTimes paths = times;
  for (size_t round = 0; round < pipeline.stages.size(); ++round) {
    bool is_changed = false;
    for (const PipelineStage& member : pipeline.stages) {
      if (!times.contains(member.stage)) {
        continue;
      }
      for (const StageId& before : member.after) {
        const auto time = times.find(before);
        if (time == times.end()) {
          continue;
        }
        const Duration path = time->second + paths.at(member.stage);
        if (path > paths.at(before)) {
          paths[before] = path;
          is_changed = true;
        }
      }
    }
    if (!is_changed) {
      break;
    }
  }
  return paths;
}

bool IsStartable(const PipelineStage& member,
                 const PipelineProgress& progress) {
  return !progress.completed.contains(member.stage) &&
         !progress.running.contains(member.stage) &&
         std::all_of(member.after.begin(), member.after.end(),
                     [&](const StageId& stage) {
                       return progress.completed.contains(stage);
                     });
}

}  // namespace

double RefusalQuantile(double attainment_weight) {
  return 0.9 - 0.4 * std::clamp(attainment_weight, 0.0, 1.0);
}

StagePlan PlanStages(const Pipeline& pipeline,
                     const ObjectSet& objects,
                     const PipelineProgress& progress,
                     ServiceTimeEstimator& estimator,
                     double attainment_weight,
                     TimePoint deadline,
                     TimePoint now) {
  const StageTimes times =
      RemainingTimes(pipeline, objects, progress, estimator,
                     RefusalQuantile(attainment_weight), now);
  const StageTimes paths = PathsToEnd(pipeline, times);
  const Duration left = std::max(Duration::zero(), deadline - now);
  StagePlan plan;
  for (const PipelineStage& member : pipeline.stages) {
    const auto path = paths.find(member.stage);
    if (path == paths.end()) {
      continue;
    }
    plan.predicted = std::max(plan.predicted, path->second);
    if (IsStartable(member, progress)) {
      const double share = path->second > Duration::zero()
                               ? ToMilliseconds(times.at(member.stage)) /
                                     ToMilliseconds(path->second)
                               : 1.0;
      plan.startable.push_back(
          {member.stage, FromMilliseconds(ToMilliseconds(left) * share)});
    }
  }
  plan.is_feasible = left > Duration::zero() && plan.predicted <= left;
  return plan;
}

}  // namespace peridotmill
