// peridotmill_orders: orders to model engines.
//
// Holds a lease for each pool in the platform store and, as its holder, moves
// the pool's engines towards the placement that the measured demand asks for.
// Pure decisions: events and time in, commands out.
//
// Dependencies: peridotmill_core, peridotmill_config, nlohmann-json.

#ifndef PERIDOTMILL_ORDERS_PERIDOTMILL_ORDERS_H_
#define PERIDOTMILL_ORDERS_PERIDOTMILL_ORDERS_H_

#include "peridotmill_orders/lease/pool_lease.h"
#include "peridotmill_orders/orders_state.h"
#include "peridotmill_orders/orders_step.h"
#include "peridotmill_orders/placement/converge.h"
#include "peridotmill_orders/placement/wanted_placement.h"

#endif  // PERIDOTMILL_ORDERS_PERIDOTMILL_ORDERS_H_
