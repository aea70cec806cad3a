#ifndef PERIDOTMILL_GATEWAY_REPLICATION_SCHEMA_REPLICA_WIRE_H_
#define PERIDOTMILL_GATEWAY_REPLICATION_SCHEMA_REPLICA_WIRE_H_

// Generated code does not follow the project's naming rules. The pragma
// excludes it from the linter's report.
#pragma GCC system_header

#include "replica_generated.h"

#endif  // PERIDOTMILL_GATEWAY_REPLICATION_SCHEMA_REPLICA_WIRE_H_
