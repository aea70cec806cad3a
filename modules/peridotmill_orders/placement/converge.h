#ifndef PERIDOTMILL_ORDERS_PLACEMENT_CONVERGE_H_
#define PERIDOTMILL_ORDERS_PLACEMENT_CONVERGE_H_

#include <optional>

#include "peridotmill_orders/orders_state.h"

namespace peridotmill {

// "model@version", as engines report it.
std::string LoadedName(const ModelVersion& version);

// Engines that may be ordered and have reported since `since`.
int32_t CountReported(const PoolOrders& pool, TimePoint since);
int32_t CountUsable(const PoolOrders& pool);

// How many engines have each version loaded.
EngineCounts CountLoaded(const PoolOrders& pool);

// The next change towards the wanted placement: an engine that holds a version
// in excess, or none, and a version that is short. The engine with the least
// work changes first.
std::optional<PlacementChange> NextChange(const PoolOrders& pool,
                                          TimePoint now);

// Whether the engine's last report shows the version loaded.
bool IsDone(const PoolOrders& pool, const PlacementChange& change);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ORDERS_PLACEMENT_CONVERGE_H_
