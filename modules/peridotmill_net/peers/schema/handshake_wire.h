#ifndef PERIDOTMILL_NET_PEERS_SCHEMA_HANDSHAKE_WIRE_H_
#define PERIDOTMILL_NET_PEERS_SCHEMA_HANDSHAKE_WIRE_H_

// Generated code follows flatc's style, so the linter treats it as foreign.
#pragma GCC system_header
#include "peridotmill_net/peers/schema/handshake_generated.h"

#endif  // PERIDOTMILL_NET_PEERS_SCHEMA_HANDSHAKE_WIRE_H_
