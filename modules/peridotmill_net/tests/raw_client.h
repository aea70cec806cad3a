#ifndef PERIDOTMILL_NET_TESTS_RAW_CLIENT_H_
#define PERIDOTMILL_NET_TESTS_RAW_CLIENT_H_

#include <gio/gio.h>

#include <array>
#include <string>
#include <string_view>

#include "peridotmill_net/glib/object_ptr.h"

namespace peridotmill {

// A TCP connection to loopback that sends bytes, right or wrong, and collects
// what comes back.
class RawClient {
 public:
  explicit RawClient(uint16_t port) {
    socket_.reset(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                               G_SOCKET_PROTOCOL_TCP, nullptr));
    const ObjectPtr<GSocketAddress> address(
        g_inet_socket_address_new_from_string("127.0.0.1", port));
    is_connected_ = g_socket_connect(socket_.get(), address.get(), nullptr,
                                     nullptr) != FALSE;
    g_socket_set_blocking(socket_.get(), FALSE);
    Resume();
  }
  ~RawClient() {
    Pause();
    Close();
  }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  // Returns how many bytes the socket took.
  size_t Send(std::string_view bytes) {
    const gssize sent = g_socket_send(socket_.get(), bytes.data(), bytes.size(),
                                      nullptr, nullptr);
    return sent < 0 ? 0 : static_cast<size_t>(sent);
  }
  void Close() { g_socket_close(socket_.get(), nullptr); }

  // Stops reading, as a slow caller does.
  void Pause() {
    if (source_ != nullptr) {
      g_source_destroy(source_);
      g_source_unref(source_);
      source_ = nullptr;
    }
  }
  void Resume() {
    if (source_ != nullptr || is_closed_ || !is_connected_) {
      return;
    }
    source_ = g_socket_create_source(socket_.get(), G_IO_IN, nullptr);
    g_source_set_callback(source_, G_SOURCE_FUNC(OnReadable), this, nullptr);
    g_source_attach(source_, nullptr);
  }

  const std::string& received() const { return received_; }
  bool Has(std::string_view text) const {
    return received_.find(text) != std::string::npos;
  }
  bool is_connected() const { return is_connected_; }
  // Whether the server has closed its side.
  bool is_closed() const { return is_closed_; }

 private:
  static gboolean OnReadable(GSocket* socket, GIOCondition, gpointer data) {
    auto* const self = static_cast<RawClient*>(data);
    std::array<char, 65536> bytes;
    const gssize size =
        g_socket_receive(socket, bytes.data(), bytes.size(), nullptr, nullptr);
    if (size > 0) {
      self->received_.append(bytes.data(), static_cast<size_t>(size));
      return G_SOURCE_CONTINUE;
    }
    self->is_closed_ = true;
    return G_SOURCE_REMOVE;
  }

  ObjectPtr<GSocket> socket_;
  GSource* source_ = nullptr;
  std::string received_;
  bool is_connected_ = false;
  bool is_closed_ = false;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_TESTS_RAW_CLIENT_H_
