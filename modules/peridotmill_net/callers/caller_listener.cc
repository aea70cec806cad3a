#include "peridotmill_net/callers/caller_listener.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

#include "peridotmill_net/logging/event_log.h"
#include "peridotmill_net/soup/listen_socket.h"

namespace peridotmill {
namespace {

constexpr int kServiceUnavailable = 503;

// libsoup closes each connection after one answer unless it has a listener of
// its own. It gets one end of a socket pair, on which nothing ever arrives;
// returns the other end, which must stay open.
ObjectPtr<GSocket> AddSilentListener(SoupServer* server) {
  std::array<int, 2> ends = {};
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()) != 0) {
    return nullptr;
  }
  const ObjectPtr<GSocket> silent(g_socket_new_from_fd(ends[0], nullptr));
  ObjectPtr<GSocket> other(g_socket_new_from_fd(ends[1], nullptr));
  if (!silent || !other ||
      soup_server_listen_socket(server, silent.get(),
                                static_cast<SoupServerListenOptions>(0),
                                nullptr) == FALSE) {
    return nullptr;
  }
  return other;
}

}  // namespace

CallerListener::CallerListener(const CallerLimits& limits,
                               SoupServer* server,
                               GTlsCertificate* certificate,
                               Handlers handlers)
    : limits_(limits), server_(server), handlers_(std::move(handlers)) {
  if (certificate != nullptr) {
    certificate_.reset(
        static_cast<GTlsCertificate*>(g_object_ref(certificate)));
  }
}

Result<std::unique_ptr<CallerListener>> CallerListener::Create(
    const std::string& address,
    const CallerLimits& limits,
    SoupServer* server,
    GTlsCertificate* certificate,
    Handlers handlers) {
  auto listening = BindListenSocket(address);
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  std::unique_ptr<CallerListener> listener(
      new CallerListener(limits, server, certificate, std::move(handlers)));
  listener->service_ = std::move(listening->service);
  listener->port_ = listening->port;
  listener->silent_ = AddSilentListener(server);
  if (!listener->silent_) {
    return tl::unexpected(make_error_code(Error::kUnavailable));
  }
  g_signal_connect(listener->service_.get(), "incoming",
                   G_CALLBACK(&CallerListener::OnIncoming), listener.get());
  g_socket_service_start(listener->service_.get());
  return listener;
}

CallerListener::~CallerListener() {
  Stop();
  // Before its other end closes, which would make it readable.
  soup_server_disconnect(server_);
  g_signal_handlers_disconnect_by_data(service_.get(), this);
}

void CallerListener::Stop() {
  if (std::exchange(is_stopped_, true)) {
    return;
  }
  g_socket_service_stop(service_.get());
  g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
  for (const auto& [remote, connection] : connections_) {
    connection->CloseIfIdle();
  }
}

CallerConnection* CallerListener::Find(SoupServerMessage* message) const {
  const auto found =
      connections_.find(soup_server_message_get_remote_address(message));
  return found == connections_.end() ? nullptr : found->second.get();
}

bool CallerListener::is_answering() const {
  return std::any_of(
      connections_.begin(), connections_.end(),
      [](const auto& entry) { return entry.second->is_answering(); });
}

gboolean CallerListener::OnIncoming(GSocketService*,
                                    GSocketConnection* connection,
                                    GObject*,
                                    gpointer data) {
  static_cast<CallerListener*>(data)->Accept(connection);
  return TRUE;
}

ObjectPtr<GIOStream> CallerListener::StreamOver(
    GSocketConnection* connection) const {
  if (!certificate_) {
    return ObjectPtr<GIOStream>(G_IO_STREAM(g_object_ref(connection)));
  }
  return ObjectPtr<GIOStream>(g_tls_server_connection_new(
      G_IO_STREAM(connection), certificate_.get(), nullptr));
}

void CallerListener::Accept(GSocketConnection* connection) {
  const ObjectPtr<GSocketAddress> local(
      g_socket_connection_get_local_address(connection, nullptr));
  const ObjectPtr<GSocketAddress> remote(
      g_socket_connection_get_remote_address(connection, nullptr));
  const ObjectPtr<GIOStream> stream = StreamOver(connection);
  if (!local || !remote || !stream || is_stopped_) {
    return;
  }
  CallerConnection::Handlers handlers;
  handlers.on_slow_request = handlers_.on_slow_request;
  handlers.on_closed = [this](CallerConnection& closed) {
    connections_.erase(closed.remote());
  };
  auto accepted = std::make_unique<CallerConnection>(
      limits_, connection, stream.get(), remote.get(), std::move(handlers));
  if (connections_.size() >= limits_.max_connections) {
    // A TLS connection is closed without a word: its handshake has not begun.
    const std::string body = handlers_.refuse_connection();
    if (!certificate_) {
      accepted->Refuse(kServiceUnavailable, body);
    }
    return;
  }
  connections_[remote.get()] = std::move(accepted);
  GError* error = nullptr;
  const bool is_accepted =
      soup_server_accept_iostream(server_, stream.get(), local.get(),
                                  remote.get(), &error) != FALSE;
  const ErrorPointer owned_error(error);
  if (!is_accepted) {
    LogWarning("accept_failed", {{"error", error->message}});
  }
}

}  // namespace peridotmill
