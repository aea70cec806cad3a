#include "peridotmill_net/soup/listen_socket.h"

namespace peridotmill {
namespace {

ObjectPtr<GSocketAddress> FirstAddress(const std::string& address) {
  const ObjectPtr<GSocketConnectable> connectable(
      g_network_address_parse(address.c_str(), /*default_port=*/0, nullptr));
  if (connectable == nullptr) {
    return nullptr;
  }
  const ObjectPtr<GSocketAddressEnumerator> addresses(
      g_socket_connectable_enumerate(connectable.get()));
  return ObjectPtr<GSocketAddress>(
      g_socket_address_enumerator_next(addresses.get(), nullptr, nullptr));
}

}  // namespace

Result<ListenSocket> BindListenSocket(const std::string& address) {
  const auto bound = FirstAddress(address);
  if (bound == nullptr) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  ListenSocket listening;
  listening.service.reset(g_socket_service_new());
  g_socket_service_stop(listening.service.get());
  GSocketAddress* effective = nullptr;
  if (g_socket_listener_add_address(G_SOCKET_LISTENER(listening.service.get()),
                                    bound.get(), G_SOCKET_TYPE_STREAM,
                                    G_SOCKET_PROTOCOL_TCP, nullptr, &effective,
                                    nullptr) == FALSE) {
    return tl::unexpected(make_error_code(Error::kUnavailable));
  }
  listening.port =
      g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(effective));
  g_object_unref(effective);
  return listening;
}

}  // namespace peridotmill
