#ifndef PERIDOTMILL_GATEWAY_REQUESTS_STAGE_PLAN_H_
#define PERIDOTMILL_GATEWAY_REQUESTS_STAGE_PLAN_H_

#include <vector>

#include "peridotmill_gateway/admission/planned_work.h"
#include "peridotmill_gateway/configuration/active_configuration.h"
#include "peridotmill_gateway/requests/stage_progress.h"

namespace peridotmill {

// Returns the work that the unfinished stages of a request will submit to their
// pools.
std::vector<PlannedWork> PlanStages(const RouteDefinition& route,
                                    const StageProgress& progress,
                                    const ActiveConfiguration& configuration);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REQUESTS_STAGE_PLAN_H_
