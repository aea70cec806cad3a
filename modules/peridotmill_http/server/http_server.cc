#include "peridotmill_http/server/http_server.h"

#include <arpa/inet.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>
#include <vector>

#include "peridotmill_http/server/http_server_connection.h"
#include "peridotmill_http/sockets/delete_later.h"
#include "peridotmill_http/sockets/socket_address.h"

namespace peridotmill {
namespace {

// Connections that wait to be accepted.
constexpr int kBacklog = 512;
// Accepted at most in one turn of the loop.
constexpr int kMaxAccepts = 64;
// Time between checks of the callers' time limits.
constexpr guint kSweepIntervalMs = 250;

}  // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    HttpServerSettings settings,
    const Clock& clock,
    Handler handler) {
  const auto address = ParseSocketAddress(settings.address);
  if (!address) {
    return tl::unexpected(address.error());
  }
  auto server = std::unique_ptr<HttpServer>(
      new HttpServer(std::move(settings), clock, std::move(handler)));
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return tl::unexpected(make_error_code(Error::kUnavailable));
  }
  server->listen_descriptor_ = descriptor;
  const int reuse = 1;
  (void)setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&*address),
           sizeof(*address)) != 0 ||
      listen(descriptor, kBacklog) != 0) {
    return tl::unexpected(make_error_code(Error::kUnavailable));
  }
  sockaddr_in bound = {};
  socklen_t size = sizeof(bound);
  if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size) ==
      0) {
    server->port_ = ntohs(bound.sin_port);
  }
  server->accept_source_ =
      g_unix_fd_add(descriptor, G_IO_IN, OnAcceptable, server.get());
  server->sweep_source_ =
      g_timeout_add(kSweepIntervalMs, OnSweep, server.get());
  return server;
}

HttpServer::HttpServer(HttpServerSettings settings,
                       const Clock& clock,
                       Handler handler)
    : settings_(std::move(settings)),
      clock_(clock),
      handler_(std::move(handler)) {}

HttpServer::~HttpServer() {
  if (accept_source_ != 0) {
    g_source_remove(accept_source_);
    g_source_remove(sweep_source_);
  }
  if (listen_descriptor_ >= 0) {
    close(listen_descriptor_);
  }
}

gboolean HttpServer::OnAcceptable(gint fd, GIOCondition, gpointer data) {
  auto* const self = static_cast<HttpServer*>(data);
  for (int i = 0; i < kMaxAccepts; ++i) {
    const int descriptor =
        accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      break;
    }
    if (self->connections_.size() >= self->settings_.max_connections) {
      ++self->counters_.refused_connections;
      close(descriptor);
      continue;
    }
    auto connection = std::make_unique<HttpServerConnection>(self, descriptor);
    HttpServerConnection* const key = connection.get();
    self->connections_.emplace(key, std::move(connection));
  }
  return G_SOURCE_CONTINUE;
}

gboolean HttpServer::OnSweep(gpointer data) {
  auto* const self = static_cast<HttpServer*>(data);
  std::vector<HttpServerConnection*> connections;
  connections.reserve(self->connections_.size());
  for (const auto& [key, connection] : self->connections_) {
    connections.push_back(key);
  }
  const TimePoint now = self->clock_.Now();
  for (HttpServerConnection* const connection : connections) {
    if (self->connections_.contains(connection)) {
      connection->CheckTimeout(now);
    }
  }
  return G_SOURCE_CONTINUE;
}

void HttpServer::CloseIdleConnections() {
  std::vector<HttpServerConnection*> idle;
  for (const auto& [key, connection] : connections_) {
    if (connection->is_idle()) {
      idle.push_back(key);
    }
  }
  for (HttpServerConnection* const connection : idle) {
    connection->End();
  }
}

void HttpServer::Release(HttpServerConnection* connection) {
  const auto found = connections_.find(connection);
  if (found != connections_.end()) {
    DeleteLater(std::move(found->second));
    connections_.erase(found);
  }
}

}  // namespace peridotmill
