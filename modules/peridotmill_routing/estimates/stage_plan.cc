#include "peridotmill_routing/estimates/stage_plan.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Remaining time of each stage that is not complete, without its successors.
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

// Returns the longest path from the start of each remaining stage to the end of
// the pipeline. Relaxes all edges until nothing changes; pipelines have few
// stages.
StageTimes LongestPathsToEnd(const Pipeline& pipeline,
                             const StageTimes& times) {
  StageTimes paths = times;
  for (size_t round = 0; round < pipeline.stages.size(); ++round) {
    bool is_changed = false;
    for (const PipelineStage& member : pipeline.stages) {
      if (!times.contains(member.stage)) {
        continue;
      }
      for (const StageId& predecessor : member.after) {
        const auto time = times.find(predecessor);
        if (time == times.end()) {
          continue;
        }
        const Duration path = time->second + paths.at(member.stage);
        if (path > paths.at(predecessor)) {
          paths[predecessor] = path;
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
  const StageTimes paths = LongestPathsToEnd(pipeline, times);
  const Duration time_left = std::max(Duration::zero(), deadline - now);
  StagePlan plan;
  for (const PipelineStage& member : pipeline.stages) {
    const auto path = paths.find(member.stage);
    if (path == paths.end()) {
      continue;
    }
    plan.predicted = std::max(plan.predicted, path->second);
    if (IsStartable(member, progress)) {
      const double time_fraction =
          path->second > Duration::zero()
              ? ToMilliseconds(times.at(member.stage)) /
                    ToMilliseconds(path->second)
              : 1.0;
      plan.startable.push_back(
          {member.stage,
           FromMilliseconds(ToMilliseconds(time_left) * time_fraction)});
    }
  }
  plan.is_feasible =
      time_left > Duration::zero() && plan.predicted <= time_left;
  return plan;
}

}  // namespace peridotmill
