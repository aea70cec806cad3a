// peridotmill_http: HTTP/1.1 on non-blocking sockets of the GLib main loop.
//
// Contains the two sides of the gateway's transparent path: the server that
// callers connect to and the client that calls endpoints. Both use the parser
// library http-parser rather than libsoup, which decodes request targets,
// accepts ambiguous framing and restarts requests by itself; see
// docs/platform.md. Also contains the GLib implementations of peer links,
// timers and the event log.
//
// Dependencies: GLib, http-parser, peridotmill_core, peridotmill_gateway (the
// interfaces of peer links and of the event log).

#ifndef PERIDOTMILL_HTTP_PERIDOTMILL_HTTP_H_
#define PERIDOTMILL_HTTP_PERIDOTMILL_HTTP_H_

#include "peridotmill_http/client/http_client.h"
#include "peridotmill_http/logging/output_log.h"
#include "peridotmill_http/memory/descriptor_limits.h"
#include "peridotmill_http/memory/memory_budget.h"
#include "peridotmill_http/peers/frame_link.h"
#include "peridotmill_http/server/http_server.h"
#include "peridotmill_http/sockets/stream_socket.h"
#include "peridotmill_http/sockets/tcp_listener.h"
#include "peridotmill_http/timers/glib_timer_queue.h"

#endif  // PERIDOTMILL_HTTP_PERIDOTMILL_HTTP_H_
