#ifndef PERIDOTMILL_ROUTING_ESTIMATES_STAGE_PLAN_H_
#define PERIDOTMILL_ROUTING_ESTIMATES_STAGE_PLAN_H_

#include <map>
#include <set>
#include <vector>

#include "peridotmill_config/objects/object_set.h"
#include "peridotmill_routing/estimates/service_time_estimator.h"

namespace peridotmill {

// How far a running stage has come.
struct RunningStage {
  TimePoint started{};
  // Tokens delivered and the time of the first, generation only.
  TokenCount tokens;
};

// How far a request has come in its pipeline.
struct PipelineProgress {
  std::set<StageId> completed;
  std::map<StageId, RunningStage> running;
  SizeClass size_class = 0;
};

// A stage whose predecessors are complete, with its part of the time left.
struct StageBudget {
  StageId stage;
  Duration budget{};
};

// The time left, split over the remaining stages.
struct StagePlan {
  // Whether the remaining critical path fits at the quantile that follows the
  // attainment weight.
  bool is_feasible = false;
  // Length of the remaining critical path at that quantile.
  Duration predicted{};
  std::vector<StageBudget> startable;
};

// Median at weight 1, 90th percentile at weight 0: a deployment that weighs
// cost gives up doubtful requests earlier.
double RefusalQuantile(double attainment_weight);

// Splits the time until `deadline`. A startable stage gets the share that it
// has of the longest path from it to the end. All stages of the pipeline must
// exist and must not form a cycle (checked when a configuration is read).
StagePlan PlanStages(const Pipeline& pipeline,
                     const ObjectSet& objects,
                     const PipelineProgress& progress,
                     ServiceTimeEstimator& estimator,
                     double attainment_weight,
                     TimePoint deadline,
                     TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_ESTIMATES_STAGE_PLAN_H_
