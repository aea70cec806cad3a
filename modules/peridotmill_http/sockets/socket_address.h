#ifndef PERIDOTMILL_HTTP_SOCKETS_SOCKET_ADDRESS_H_
#define PERIDOTMILL_HTTP_SOCKETS_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include <string_view>

#include "peridotmill_core/errors/error.h"

namespace peridotmill {

// Parses an IPv4 address with a port, "a.b.c.d:port". Errors: kMalformed.
Result<sockaddr_in> ParseSocketAddress(std::string_view text);

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_SOCKETS_SOCKET_ADDRESS_H_
