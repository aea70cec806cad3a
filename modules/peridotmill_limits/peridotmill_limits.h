// peridotmill_limits: admission control, queueing and concurrency limits of a
// node.
//
// Adapts the number of concurrent attempts to each endpoint, queues work for
// each pool by priority and with weighted fair queuing over teams, admits
// requests by their predicted finish time, and detects teams that use more than
// their share of the deployment.
//
// Dependencies: peridotmill_core, peridotmill_config.

#ifndef PERIDOTMILL_LIMITS_PERIDOTMILL_LIMITS_H_
#define PERIDOTMILL_LIMITS_PERIDOTMILL_LIMITS_H_

#include "peridotmill_limits/admission/admission.h"
#include "peridotmill_limits/concurrency/adaptive_limit.h"
#include "peridotmill_limits/queues/fair_queue.h"
#include "peridotmill_limits/teams/team_shares.h"

#endif  // PERIDOTMILL_LIMITS_PERIDOTMILL_LIMITS_H_
