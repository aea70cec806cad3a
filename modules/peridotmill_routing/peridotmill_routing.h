// peridotmill_routing: decides where and when the stages of a request run.
//
// Keeps a node's view of the endpoints, selects an endpoint for a stage, tracks
// which endpoints may have a prompt prefix in their cache, estimates service
// times, splits deadlines over the remaining stages, and decides on retries
// and hedged attempts.
//
// Dependencies: peridotmill_core, peridotmill_config.

#ifndef PERIDOTMILL_ROUTING_PERIDOTMILL_ROUTING_H_
#define PERIDOTMILL_ROUTING_PERIDOTMILL_ROUTING_H_

#include "peridotmill_routing/endpoints/endpoint_table.h"
#include "peridotmill_routing/endpoints/outlier_ejection.h"
#include "peridotmill_routing/estimates/service_time_estimator.h"
#include "peridotmill_routing/estimates/stage_plan.h"
#include "peridotmill_routing/prefixes/prefix_index.h"
#include "peridotmill_routing/retries/hedge_decision.h"
#include "peridotmill_routing/retries/retry_decision.h"
#include "peridotmill_routing/selection/endpoint_choice.h"
#include "peridotmill_routing/selection/endpoint_score.h"

#endif  // PERIDOTMILL_ROUTING_PERIDOTMILL_ROUTING_H_
