#ifndef PERIDOTMILL_HTTP_TESTS_SOCKET_PEER_H_
#define PERIDOTMILL_HTTP_TESTS_SOCKET_PEER_H_

#include <glib.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_http/sockets/stream_socket.h"
#include "peridotmill_http/sockets/tcp_listener.h"

namespace peridotmill {

// Runs the default GLib main loop until `is_done` returns true, for at most
// about ten seconds. Returns the last result of `is_done`.
template <typename Predicate>
bool RunLoopUntil(const Predicate& is_done) {
  constexpr int kMaxIterations = 2000;
  const guint tick_source = g_timeout_add(
      5, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, nullptr);
  for (int i = 0; i < kMaxIterations && !is_done(); ++i) {
    g_main_context_iteration(nullptr, TRUE);
  }
  g_source_remove(tick_source);
  return is_done();
}

// Runs the default GLib main loop for `time`.
inline void RunLoopFor(Duration time) {
  const auto end = std::chrono::steady_clock::now() + time;
  RunLoopUntil([&] { return std::chrono::steady_clock::now() >= end; });
}

// One end of a TCP connection that sends arbitrary bytes, also invalid ones,
// and collects the bytes that it receives.
class SocketPeer final : public StreamSocket::Listener {
 public:
  explicit SocketPeer(uint16_t port) {
    auto socket =
        StreamSocket::Connect("127.0.0.1:" + std::to_string(port), this);
    socket_ = *std::move(socket);
  }
  explicit SocketPeer(int descriptor)
      : socket_(StreamSocket::Accepted(descriptor, this)) {}

  void Send(std::string_view bytes) { socket_->Write(bytes); }
  void Close() { socket_->Close(); }
  void Abort() { socket_->Abort(); }
  void PauseReading() { socket_->PauseReading(); }
  void ResumeReading() { socket_->ResumeReading(); }

  bool Has(std::string_view text) const {
    return received.find(text) != std::string::npos;
  }

  std::string received;
  // How the other side ended the connection; nullopt while it is open.
  std::optional<SocketEnd> end;

 private:
  void OnSocketData(std::string_view bytes) override { received += bytes; }
  void OnSocketEnd(SocketEnd socket_end) override { end = socket_end; }

  std::unique_ptr<StreamSocket> socket_;
};

// A TCP server on a free port; the test reads and writes the raw bytes of each
// accepted connection through `peers`.
class ScriptedTcpServer {
 public:
  ScriptedTcpServer() {
    listener_ = *TcpListener::Create("127.0.0.1:0", [this](int descriptor) {
      peers.push_back(std::make_unique<SocketPeer>(descriptor));
    });
    address = "127.0.0.1:" + std::to_string(listener_->port());
  }
  // Waits until accepted connection `index` has received `text`. Returns
  // whether that happened before the limit of RunLoopUntil.
  bool WaitFor(size_t index, std::string_view text) {
    return RunLoopUntil(
        [&] { return peers.size() > index && peers[index]->Has(text); });
  }

  std::string address;
  // Accepted connections in order.
  std::vector<std::unique_ptr<SocketPeer>> peers;

 private:
  std::unique_ptr<TcpListener> listener_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_TESTS_SOCKET_PEER_H_
