// peridotmill_http: HTTP/1.1 on non-blocking sockets of the GLib main loop.
//
// The caller side and the endpoint side of the transparent path. libsoup
// decodes targets, accepts ambiguous framing and restarts requests by itself,
// so this path uses the parser library http-parser instead; see
// docs/platform.md.
//
// Dependencies: GLib, http-parser, peridotmill_core, peridotmill_gateway (the
// interface of the log).

#ifndef PERIDOTMILL_HTTP_PERIDOTMILL_HTTP_H_
#define PERIDOTMILL_HTTP_PERIDOTMILL_HTTP_H_

#include "peridotmill_http/client/http_client.h"
#include "peridotmill_http/logging/output_log.h"
#include "peridotmill_http/peers/frame_link.h"
#include "peridotmill_http/server/http_server.h"
#include "peridotmill_http/sockets/stream_socket.h"
#include "peridotmill_http/sockets/tcp_listener.h"
#include "peridotmill_http/timers/glib_timer_queue.h"

#endif  // PERIDOTMILL_HTTP_PERIDOTMILL_HTTP_H_
