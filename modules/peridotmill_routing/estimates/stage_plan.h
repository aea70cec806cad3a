#ifndef PERIDOTMILL_ROUTING_ESTIMATES_STAGE_PLAN_H_
#define PERIDOTMILL_ROUTING_ESTIMATES_STAGE_PLAN_H_

#include <map>
#include <set>
#include <vector>

#include "peridotmill_config/objects/object_set.h"
#include "peridotmill_routing/estimates/service_time_estimator.h"

namespace peridotmill {

// Progress of a stage that is running.
struct RunningStage {
  TimePoint started{};
  // Tokens delivered so far; used for generation only.
  TokenCount tokens;
};

// Progress of a request in its pipeline.
struct PipelineProgress {
  std::set<StageId> completed;
  std::map<StageId, RunningStage> running;
  SizeClass size_class = 0;
};

// A stage whose predecessors are complete, and the time allotted to it.
struct StageBudget {
  StageId stage;
  Duration budget{};
};

// The time until the deadline, split over the remaining stages.
struct StagePlan {
  // Whether the remaining critical path, estimated at RefusalQuantile(), ends
  // before the deadline.
  bool is_feasible = false;
  // Duration of the remaining critical path at that quantile.
  Duration predicted{};
  // Stages that can start now.
  std::vector<StageBudget> startable;
};

// Returns the quantile of service times at which requests that would miss their
// deadline are refused: the median at attainment weight 1, the 90th percentile
// at weight 0. A deployment that values cost over attainment thus refuses
// uncertain requests earlier.
double RefusalQuantile(double attainment_weight);

// Splits the time until `deadline`. A startable stage gets the fraction that
// its own service time has of the longest path from its start to the end of the
// pipeline. All stages of the pipeline must exist and must not form a cycle;
// both are checked when a configuration is read.
StagePlan PlanStages(const Pipeline& pipeline,
                     const ObjectSet& objects,
                     const PipelineProgress& progress,
                     ServiceTimeEstimator& estimator,
                     double attainment_weight,
                     TimePoint deadline,
                     TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_ESTIMATES_STAGE_PLAN_H_
