#ifndef PERIDOTMILL_HTTP_SOCKETS_TCP_LISTENER_H_
#define PERIDOTMILL_HTTP_SOCKETS_TCP_LISTENER_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "peridotmill_core/errors/error.h"

namespace peridotmill {

// Accepts TCP connections on the default GLib main context.
class TcpListener {
 public:
  // Receives the non-blocking descriptor of each accepted connection and takes
  // ownership of it.
  using Handler = std::function<void(int descriptor)>;

  // Starts to listen on `address`, "a.b.c.d:port"; port 0 selects any free
  // port. Errors: kMalformed if the address cannot be parsed, kUnavailable if
  // it cannot be bound.
  static Result<std::unique_ptr<TcpListener>> Create(const std::string& address,
                                                     Handler handler);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Accepts the connections that are already established and refuses later
  // ones. Does nothing when called again.
  void StopListening();
  bool is_listening() const { return descriptor_ >= 0; }

  // Returns the port that the listener is or was bound to.
  uint16_t port() const { return port_; }

 private:
  TcpListener(int descriptor, Handler handler);

  static gboolean OnAcceptable(gint fd, GIOCondition condition, gpointer data);

  // Accepts one waiting connection. Returns false if there is none.
  bool AcceptOne();

  // -1 after StopListening.
  int descriptor_;
  Handler handler_;
  uint16_t port_ = 0;
  // GLib source id.
  guint source_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_SOCKETS_TCP_LISTENER_H_
