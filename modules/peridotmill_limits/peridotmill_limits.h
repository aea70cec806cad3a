// peridotmill_limits: how much work a node takes on, and in which order.
//
// Learns how many attempts an endpoint takes, queues work per pool by priority
// and fairly by team, admits requests by predicted finish, and finds teams
// that use more than their share of the deployment.
//
// Dependencies: peridotmill_core, peridotmill_config.

#ifndef PERIDOTMILL_LIMITS_PERIDOTMILL_LIMITS_H_
#define PERIDOTMILL_LIMITS_PERIDOTMILL_LIMITS_H_

#include "peridotmill_limits/admission/admission.h"
#include "peridotmill_limits/concurrency/adaptive_limit.h"
#include "peridotmill_limits/queues/fair_queue.h"
#include "peridotmill_limits/teams/team_shares.h"

#endif  // PERIDOTMILL_LIMITS_PERIDOTMILL_LIMITS_H_
