#ifndef PERIDOTMILL_HTTP_SERVER_HTTP_SERVER_H_
#define PERIDOTMILL_HTTP_SERVER_HTTP_SERVER_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_core/http/http_message.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_http/server/http_exchange.h"
#include "peridotmill_http/sockets/tcp_listener.h"

namespace peridotmill {

class HttpServerConnection;

struct HttpServerSettings {
  // "a.b.c.d:port"; port 0 takes any free port.
  std::string address;
  // Connections beyond this are closed as they arrive.
  size_t max_connections = 1024;
  HttpLimits limits;
};

// Counts of what callers did wrong.
struct HttpServerCounters {
  uint64_t malformed = 0;
  uint64_t head_too_large = 0;
  uint64_t body_too_large = 0;
  uint64_t timed_out = 0;
  uint64_t refused_connections = 0;
};

// Serves HTTP/1.1 callers on the default GLib main context. Requests of one
// connection are handled one after another.
class HttpServer {
 public:
  // Receives each complete request.
  using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

  // Errors: kMalformed for an address that cannot be read, kUnavailable for one
  // that cannot be bound.
  static Result<std::unique_ptr<HttpServer>> Create(HttpServerSettings settings,
                                                    const Clock& clock,
                                                    Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void set_limits(const HttpLimits& limits) { settings_.limits = limits; }

  // Announces on every further answer that the connection closes after it.
  void StopKeepingConnections() { keeps_connections_ = false; }
  // Closes connections without an open request.
  void CloseIdleConnections();

  uint16_t port() const { return listener_->port(); }
  size_t connection_count() const { return connections_.size(); }
  const HttpServerCounters& counters() const { return counters_; }

 private:
  friend class HttpServerConnection;

  HttpServer(HttpServerSettings settings, const Clock& clock, Handler handler);

  void OnAccepted(int descriptor);
  static gboolean OnSweep(gpointer data);
  void Release(HttpServerConnection* connection);

  HttpServerSettings settings_;
  const Clock& clock_;
  Handler handler_;
  std::unique_ptr<TcpListener> listener_;
  guint sweep_source_ = 0;
  bool keeps_connections_ = true;
  HttpServerCounters counters_;
  std::unordered_map<HttpServerConnection*,
                     std::unique_ptr<HttpServerConnection>>
      connections_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_SERVER_HTTP_SERVER_H_
