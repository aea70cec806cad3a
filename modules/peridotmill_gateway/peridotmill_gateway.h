// peridotmill_gateway: the request path of a gateway node.
//
// Forwards callers' requests to pools of endpoints: routing, placement of
// attempts, batched stage calls, event streams and retry budgets. Also keeps
// copies of parts of the store, which nodes replicate to one another. Calls to
// endpoints, callers, timers and the store are interfaces, so that tests need
// no sockets.
//
// Dependencies: peridotmill_core.

#ifndef PERIDOTMILL_GATEWAY_PERIDOTMILL_GATEWAY_H_
#define PERIDOTMILL_GATEWAY_PERIDOTMILL_GATEWAY_H_

#include "peridotmill_gateway/configuration/active_configuration.h"
#include "peridotmill_gateway/configuration/config_check.h"
#include "peridotmill_gateway/evacuation/domain_evacuations.h"
#include "peridotmill_gateway/limits/permit_buckets.h"
#include "peridotmill_gateway/limits/permit_client.h"
#include "peridotmill_gateway/peers/node_directory.h"
#include "peridotmill_gateway/peers/node_registration.h"
#include "peridotmill_gateway/peers/stage_relay.h"
#include "peridotmill_gateway/peers/stage_service.h"
#include "peridotmill_gateway/quarantine/crash_quarantine.h"
#include "peridotmill_gateway/quarantine/quarantine_records.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"
#include "peridotmill_gateway/replication/replica_service.h"
#include "peridotmill_gateway/replication/replica_sources.h"
#include "peridotmill_gateway/replication/store_replica.h"
#include "peridotmill_gateway/requests/gateway.h"
#include "peridotmill_gateway/retries/pool_retry_budget.h"
#include "peridotmill_gateway/settings/gateway_settings.h"
#include "peridotmill_gateway/stages/stage_coordinator.h"
#include "peridotmill_gateway/store/prefix_watcher.h"
#include "peridotmill_gateway/store/registration_reconciler.h"
#include "peridotmill_gateway/warm_up/warm_up_bounds.h"

#endif  // PERIDOTMILL_GATEWAY_PERIDOTMILL_GATEWAY_H_
