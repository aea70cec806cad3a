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
  // Receives the descriptor of each accepted connection and owns it.
  using Handler = std::function<void(int descriptor)>;

  // `address` is "a.b.c.d:port"; port 0 takes any free port.
  // Errors: kMalformed for an address that cannot be read, kUnavailable for one
  // that cannot be bound.
  static Result<std::unique_ptr<TcpListener>> Create(const std::string& address,
                                                     Handler handler);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  uint16_t port() const { return port_; }

 private:
  TcpListener(int descriptor, Handler handler);

  static gboolean OnAcceptable(gint fd, GIOCondition condition, gpointer data);

  int descriptor_;
  Handler handler_;
  uint16_t port_ = 0;
  guint source_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_SOCKETS_TCP_LISTENER_H_
