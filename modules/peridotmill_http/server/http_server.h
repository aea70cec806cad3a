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
#include "peridotmill_http/memory/memory_charge.h"
#include "peridotmill_http/server/http_exchange.h"
#include "peridotmill_http/sockets/tcp_listener.h"

namespace peridotmill {

class HttpServerConnection;

struct HttpServerSettings {
  // Address to listen on, "a.b.c.d:port"; port 0 selects any free port.
  std::string address;
  // For each further connection, one that is not in use is closed; if there is
  // none, the further connection itself.
  size_t max_connections = 1024;
  HttpLimits limits;
  // What the connections may hold, or null for no limit. Must outlive the
  // server and its requests.
  MemoryBudget* memory = nullptr;
  // Returns whether the process has descriptors for so many connections and
  // for the calls of so many open requests. While it has not, requests are
  // refused and further connections closed, unless another can be closed.
  std::function<bool(size_t connections, size_t requests)> has_descriptors =
      [](size_t, size_t) { return true; };
};

// Numbers of requests rejected by the server, by cause, and of connections
// refused or closed because HttpServerSettings::max_connections were open.
struct HttpServerCounters {
  uint64_t malformed = 0;
  uint64_t head_too_large = 0;
  uint64_t body_too_large = 0;
  uint64_t timed_out = 0;
  uint64_t refused_connections = 0;
  uint64_t closed_for_new_connections = 0;
};

// HTTP/1.1 server on the default GLib main context. Handles the requests of one
// connection sequentially: the handler receives the next request after the
// response to the previous one is complete.
class HttpServer {
 public:
  // Called with each complete request; may respond before it returns or later.
  using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

  // Starts to listen. `clock` must outlive the server.
  // Errors: kMalformed if the address cannot be parsed, kUnavailable if it
  // cannot be bound.
  static Result<std::unique_ptr<HttpServer>> Create(HttpServerSettings settings,
                                                    const Clock& clock,
                                                    Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Replaces the limits, also for open connections.
  void set_limits(const HttpLimits& limits) { settings_.limits = limits; }

  // Sends "Connection: close" with every further response and closes the
  // connection after it.
  void DisableKeepAlive() { is_keep_alive_enabled_ = false; }
  // Closes the connections that are idle; see HttpServerConnection::IsIdle.
  void CloseIdleConnections();
  // Responds to the requests that are still being received as not run, and
  // resets the connections whose response has not been sent completely. Called
  // before the process exits.
  void EndAllConnections();
  // Refuses connections from now on, except those that are established already.
  void StopListening() { listener_->StopListening(); }
  bool is_listening() const { return listener_->is_listening(); }

  uint16_t port() const { return listener_->port(); }
  size_t connection_count() const { return connections_.size(); }
  const HttpServerCounters& counters() const { return counters_; }

 private:
  friend class HttpServerConnection;

  HttpServer(HttpServerSettings settings, const Clock& clock, Handler handler);

  void OnAccepted(int descriptor);
  static gboolean OnTimeoutCheck(gpointer data);
  void CountRefusal(uint64_t MemoryCounters::*counter);
  // Closes a connection that is not in use. Returns whether there was one.
  bool CloseOneForNew();
  // Returns whether a request may open a connection to an endpoint, after
  // closing a connection that is not in use if need be.
  bool MakeRoomForCall();
  // Changes a charge of `requester`, whose request is being received; refuses
  // requests that other connections are receiving if that makes room. Returns
  // whether the charge fits now.
  bool Reserve(const HttpServerConnection* requester,
               MemoryCharge& charge,
               size_t bytes);
  // Removes the connection and destroys it later from the main loop.
  void RemoveConnection(HttpServerConnection* connection);

  HttpServerSettings settings_;
  const Clock& clock_;
  Handler handler_;
  std::unique_ptr<TcpListener> listener_;
  guint timeout_check_source_ = 0;
  bool is_keep_alive_enabled_ = true;
  HttpServerCounters counters_;
  // Requests whose head is complete and whose response is not.
  size_t open_requests_ = 0;
  // When connections are searched next for those that yield memory or a
  // descriptor, after a search that found none.
  TimePoint next_memory_search_;
  TimePoint next_connection_search_;
  std::unordered_map<HttpServerConnection*,
                     std::unique_ptr<HttpServerConnection>>
      connections_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_SERVER_HTTP_SERVER_H_
