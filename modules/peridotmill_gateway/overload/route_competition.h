#ifndef PERIDOTMILL_GATEWAY_OVERLOAD_ROUTE_COMPETITION_H_
#define PERIDOTMILL_GATEWAY_OVERLOAD_ROUTE_COMPETITION_H_

#include "peridotmill_gateway/configuration/gateway_config.h"

namespace peridotmill {

// Returns whether routes of different priorities use the same stage pool.
bool DoRoutesCompeteForStages(const GatewayConfig& config);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_OVERLOAD_ROUTE_COMPETITION_H_
