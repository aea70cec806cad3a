#ifndef PERIDOTMILL_GATEWAY_PEERS_SCHEMA_STAGE_WIRE_H_
#define PERIDOTMILL_GATEWAY_PEERS_SCHEMA_STAGE_WIRE_H_

// Generated code does not follow the naming rules. Marking it as a system
// header excludes it from the linter's report.
#pragma GCC system_header

#include "stage_peer_generated.h"

#endif  // PERIDOTMILL_GATEWAY_PEERS_SCHEMA_STAGE_WIRE_H_
