#ifndef PERIDOTMILL_GATEWAY_CONFIGURATION_CONFIG_CHECK_H_
#define PERIDOTMILL_GATEWAY_CONFIGURATION_CONFIG_CHECK_H_

#include "peridotmill_core/errors/finding.h"
#include "peridotmill_gateway/configuration/gateway_config.h"

namespace peridotmill {

// Checks a configuration for references to pools that do not exist, stages that
// depend on later ones and values out of range. Returns all errors found.
Findings CheckGatewayConfig(const GatewayConfig& config);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_CONFIGURATION_CONFIG_CHECK_H_
