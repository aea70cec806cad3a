// peridotmill_gateway: the transparent path of an entry node.
//
// Routes of callers' requests onto pools, placement of attempts, batched stage
// calls, streams, the budget of repeats, and the parts of the store that nodes
// follow and pass on to one another. Calls,
// callers, timers and the store are interfaces, so that a test drives
// everything without a socket.
//
// Dependencies: peridotmill_core.

#ifndef PERIDOTMILL_GATEWAY_PERIDOTMILL_GATEWAY_H_
#define PERIDOTMILL_GATEWAY_PERIDOTMILL_GATEWAY_H_

#include "peridotmill_gateway/configuration/active_configuration.h"
#include "peridotmill_gateway/configuration/config_check.h"
#include "peridotmill_gateway/peers/node_directory.h"
#include "peridotmill_gateway/peers/node_registration.h"
#include "peridotmill_gateway/peers/stage_relay.h"
#include "peridotmill_gateway/peers/stage_service.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"
#include "peridotmill_gateway/repeats/repeat_budget.h"
#include "peridotmill_gateway/replication/replica_service.h"
#include "peridotmill_gateway/replication/replica_sources.h"
#include "peridotmill_gateway/replication/store_replica.h"
#include "peridotmill_gateway/requests/gateway.h"
#include "peridotmill_gateway/settings/gateway_settings.h"
#include "peridotmill_gateway/stages/stage_coordinator.h"
#include "peridotmill_gateway/store/prefix_watcher.h"
#include "peridotmill_gateway/store/registration_reconciler.h"

#endif  // PERIDOTMILL_GATEWAY_PERIDOTMILL_GATEWAY_H_
