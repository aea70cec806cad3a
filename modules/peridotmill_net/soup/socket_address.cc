#include "peridotmill_net/soup/socket_address.h"

#include <charconv>
#include <cstdint>

namespace peridotmill {

ObjectPtr<GSocketAddress> SocketAddressFrom(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return nullptr;
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end) {
    return nullptr;
  }
  return ObjectPtr<GSocketAddress>(
      g_inet_socket_address_new_from_string(host.c_str(), port));
}

}  // namespace peridotmill
