#ifndef PERIDOTMILL_GATEWAY_CONFIGURATION_CONFIG_CHECK_H_
#define PERIDOTMILL_GATEWAY_CONFIGURATION_CONFIG_CHECK_H_

#include "peridotmill_core/errors/finding.h"
#include "peridotmill_gateway/configuration/gateway_config.h"

namespace peridotmill {

// Checks the whole set: names that refer to nothing, stages that depend on
// later ones, values out of range. Returns all faults.
Findings CheckGatewayConfig(const GatewayConfig& config);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_CONFIGURATION_CONFIG_CHECK_H_
