#ifndef PERIDOTMILL_NET_SOUP_LISTEN_SOCKET_H_
#define PERIDOTMILL_NET_SOUP_LISTEN_SOCKET_H_

#include <gio/gio.h>

#include <cstdint>
#include <string>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_net/glib/object_ptr.h"

namespace peridotmill {

struct ListenSocket {
  ObjectPtr<GSocketService> service;
  uint16_t port = 0;
};

// Binds a TCP service that has not been started to `address`, "ip:port"; port 0
// takes any free port.
// Errors: kMalformed for an address that cannot be read, kUnavailable for one
// that cannot be bound.
Result<ListenSocket> BindListenSocket(const std::string& address);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_SOUP_LISTEN_SOCKET_H_
