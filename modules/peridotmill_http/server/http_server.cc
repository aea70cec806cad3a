#include "peridotmill_http/server/http_server.h"

#include <unistd.h>

#include <utility>
#include <vector>

#include "peridotmill_http/memory/yielding.h"
#include "peridotmill_http/server/http_server_connection.h"
#include "peridotmill_http/sockets/delete_later.h"

namespace peridotmill {
namespace {

// Interval between checks of all connections for read timeouts.
constexpr guint kTimeoutCheckIntervalMs = 250;
// Time until connections that yield are searched again after none was found.
// Bounds the work for a crowd that keeps asking for more than there is.
constexpr Duration kSearchInterval = std::chrono::milliseconds(50);

}  // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    HttpServerSettings settings,
    const Clock& clock,
    Handler handler) {
  auto server = std::unique_ptr<HttpServer>(
      new HttpServer(std::move(settings), clock, std::move(handler)));
  auto listener = TcpListener::Create(
      server->settings_.address,
      [raw = server.get()](int descriptor) { raw->OnAccepted(descriptor); });
  if (!listener) {
    return tl::unexpected(listener.error());
  }
  server->listener_ = *std::move(listener);
  server->timeout_check_source_ =
      g_timeout_add(kTimeoutCheckIntervalMs, OnTimeoutCheck, server.get());
  return server;
}

HttpServer::HttpServer(HttpServerSettings settings,
                       const Clock& clock,
                       Handler handler)
    : settings_(std::move(settings)),
      clock_(clock),
      handler_(std::move(handler)) {}

HttpServer::~HttpServer() {
  if (timeout_check_source_ != 0) {
    g_source_remove(timeout_check_source_);
  }
}

void HttpServer::OnAccepted(int descriptor) {
  const bool is_full =
      connections_.size() >= settings_.max_connections ||
      !settings_.has_descriptors(connections_.size() + 1, open_requests_);
  if (is_full && !CloseOneForNew()) {
    ++counters_.refused_connections;
    close(descriptor);
    return;
  }
  auto connection = std::make_unique<HttpServerConnection>(this, descriptor);
  HttpServerConnection* const key = connection.get();
  connections_.emplace(key, std::move(connection));
}

bool HttpServer::CloseOneForNew() {
  const TimePoint now = clock_.Now();
  if (now < next_connection_search_) {
    return false;
  }
  std::vector<HttpServerConnection*> connections;
  std::vector<OpenConnection> states;
  connections.reserve(connections_.size());
  states.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) {
    connections.push_back(key);
    states.push_back(connection->GetState(now));
  }
  const auto chosen = ChooseConnectionToClose(states, now);
  if (!chosen) {
    next_connection_search_ = now + kSearchInterval;
    return false;
  }
  ++counters_.closed_for_new_connections;
  CountRefusal(&MemoryCounters::closed_idle);
  connections[*chosen]->CloseForNew();
  return true;
}

void HttpServer::CountRefusal(uint64_t MemoryCounters::*counter) {
  if (settings_.memory != nullptr) {
    ++(settings_.memory->counters().*counter);
  }
}

bool HttpServer::MakeRoomForCall() {
  return settings_.has_descriptors(connections_.size(), open_requests_ + 1) ||
         CloseOneForNew();
}

bool HttpServer::Reserve(const HttpServerConnection* requester,
                         MemoryCharge& charge,
                         size_t bytes) {
  if (charge.TrySet(bytes)) {
    return true;
  }
  const TimePoint now = clock_.Now();
  if (now < next_memory_search_) {
    return false;
  }
  std::vector<HttpServerConnection*> connections;
  std::vector<UnfinishedRequest> requests;
  for (const auto& [key, connection] : connections_) {
    const auto request = connection->unfinished_request();
    if (request && key != requester) {
      connections.push_back(key);
      requests.push_back(*request);
    }
  }
  const auto yielding =
      ChooseWhoYields(requests, charge.MissingBytes(bytes), now);
  if (yielding.empty()) {
    next_memory_search_ = now + kSearchInterval;
    return false;
  }
  for (const size_t index : yielding) {
    CountRefusal(&MemoryCounters::refused_unfinished);
    connections[index]->RefuseForMemory();
  }
  return charge.TrySet(bytes);
}

gboolean HttpServer::OnTimeoutCheck(gpointer data) {
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
  const TimePoint now = clock_.Now();
  for (const auto& [key, connection] : connections_) {
    if (connection->IsIdle(now)) {
      idle.push_back(key);
    }
  }
  for (HttpServerConnection* const connection : idle) {
    connection->CloseAndRemove();
  }
}

void HttpServer::EndAllConnections() {
  std::vector<HttpServerConnection*> open;
  open.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) {
    open.push_back(key);
  }
  for (HttpServerConnection* const connection : open) {
    if (connections_.contains(connection)) {
      connection->EndBeforeExit();
    }
  }
}

void HttpServer::RemoveConnection(HttpServerConnection* connection) {
  const auto found = connections_.find(connection);
  if (found != connections_.end()) {
    DeleteLater(std::move(found->second));
    connections_.erase(found);
  }
}

}  // namespace peridotmill
