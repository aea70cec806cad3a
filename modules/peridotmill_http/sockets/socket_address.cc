#include "peridotmill_http/sockets/socket_address.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace peridotmill {

Result<sockaddr_in> ParseSocketAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  const std::string_view port_text = text.substr(colon + 1);
  uint16_t port = 0;
  const auto [end, error] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  const std::string host(text.substr(0, colon));
  if (error != std::errc() || end != port_text.data() + port_text.size() ||
      inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  address.sin_port = htons(port);
  return address;
}

}  // namespace peridotmill
