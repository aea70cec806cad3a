#ifndef PERIDOTMILL_NET_SOUP_SOCKET_ADDRESS_H_
#define PERIDOTMILL_NET_SOUP_SOCKET_ADDRESS_H_

#include <string>

#include "peridotmill_net/soup/soup_pointers.h"

namespace peridotmill {

// Reads "ip:port" or "[ip6]:port"; null when the text is neither.
ObjectPtr<GSocketAddress> SocketAddressFrom(const std::string& text);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_SOUP_SOCKET_ADDRESS_H_
