#ifndef PERIDOTMILL_MEMBERSHIP_SCHEMA_PEER_WIRE_H_
#define PERIDOTMILL_MEMBERSHIP_SCHEMA_PEER_WIRE_H_

// Generated code does not follow the naming rules; as a system header it is
// left out of the linter's report.
#pragma GCC system_header

#include "peer_generated.h"

#endif  // PERIDOTMILL_MEMBERSHIP_SCHEMA_PEER_WIRE_H_
