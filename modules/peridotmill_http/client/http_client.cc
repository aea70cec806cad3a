#include "peridotmill_http/client/http_client.h"

#include <algorithm>
#include <utility>

#include "peridotmill_http/sockets/delete_later.h"

namespace peridotmill {
namespace {

// Time between two removals of expired idle connections.
constexpr guint kIdleCheckIntervalMs = 1000;
constexpr size_t kMaxIdleConnectionsPerServer = 16;

}  // namespace

// Owns the connection of one call. Returns it to the client when the response
// is complete; closes it when the call is destroyed earlier.
class HttpClientCall final : public HttpCallHandle, public HttpCallListener {
 public:
  HttpClientCall(std::unique_ptr<HttpClientConnection> connection,
                 HttpCallListener* listener)
      : connection_(std::move(connection)), listener_(listener) {}

  ~HttpClientCall() override {
    if (connection_ != nullptr) {
      connection_->Cancel();
      DeleteLater(std::move(connection_));
    }
  }

  void PauseReading() override {
    if (connection_ != nullptr) {
      connection_->PauseReading();
    }
  }
  void ResumeReading() override {
    if (connection_ != nullptr) {
      connection_->ResumeReading();
    }
  }

  void Begin(HttpClient* client,
             HttpCall call,
             void (HttpClient::*return_connection)(
                 std::unique_ptr<HttpClientConnection>)) {
    client_ = client;
    return_connection_ = return_connection;
    connection_->Begin(std::move(call), this);
  }

 private:
  bool OnCallHead(const HttpResponseHead& head) override {
    return listener_->OnCallHead(head);
  }
  void OnCallBody(std::string_view bytes) override {
    listener_->OnCallBody(bytes);
  }
  void OnCallEnd(HttpCallEnd end) override {
    if (end == HttpCallEnd::kComplete) {
      (client_->*return_connection_)(std::move(connection_));
    }
    // The listener may destroy this object.
    listener_->OnCallEnd(end);
  }

  std::unique_ptr<HttpClientConnection> connection_;
  HttpCallListener* listener_;
  HttpClient* client_ = nullptr;
  void (HttpClient::*return_connection_)(
      std::unique_ptr<HttpClientConnection>) = nullptr;
};

HttpClient::HttpClient(const Clock& clock) : clock_(clock) {
  idle_check_source_ = g_timeout_add(kIdleCheckIntervalMs, OnIdleCheck, this);
}

HttpClient::~HttpClient() {
  g_source_remove(idle_check_source_);
}

std::unique_ptr<HttpCallHandle> HttpClient::Start(HttpCall call,
                                                  HttpCallListener* listener) {
  auto connection = call.has_own_connection ? nullptr : TakeIdle(call);
  if (connection == nullptr) {
    ++counters_.connections_opened;
    connection = std::make_unique<HttpClientConnection>(this);
  } else {
    ++counters_.connections_reused;
  }
  auto handle =
      std::make_unique<HttpClientCall>(std::move(connection), listener);
  handle->Begin(this, std::move(call), &HttpClient::AddIdle);
  return handle;
}

std::unique_ptr<HttpClientConnection> HttpClient::TakeIdle(
    const HttpCall& call) {
  const auto found = idle_.find(call.address);
  if (found == idle_.end()) {
    return nullptr;
  }
  const TimePoint now = clock_.Now();
  auto& connections = found->second;
  // The most recently used connection is the least likely to have been closed
  // by the server.
  while (!connections.empty() && connections.back()->idle_until() > now &&
         now - connections.back()->idle_since() <= call.max_connection_idle) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    if (!connection->has_unread_input()) {
      return connection;
    }
    // Bytes that arrived on the idle connection would be taken for the response
    // to the call; a connection that has ended cannot carry it.
    ++counters_.connections_closed_with_unread_input;
    DeleteLater(std::move(connection));
  }
  return nullptr;
}

void HttpClient::AddIdle(std::unique_ptr<HttpClientConnection> connection) {
  if (!connection->is_open() || connection->idle_until() <= clock_.Now()) {
    DeleteLater(std::move(connection));
    return;
  }
  auto& connections = idle_[connection->address()];
  if (connections.size() >= kMaxIdleConnectionsPerServer) {
    DeleteLater(std::move(connection));
    return;
  }
  connections.push_back(std::move(connection));
}

void HttpClient::RemoveIdle(HttpClientConnection* connection) {
  const auto found = idle_.find(connection->address());
  if (found == idle_.end()) {
    return;
  }
  auto& connections = found->second;
  const auto position = std::find_if(
      connections.begin(), connections.end(), [&](const auto& idle_connection) {
        return idle_connection.get() == connection;
      });
  if (position != connections.end()) {
    DeleteLater(std::move(*position));
    connections.erase(position);
  }
}

gboolean HttpClient::OnIdleCheck(gpointer data) {
  auto* const self = static_cast<HttpClient*>(data);
  const TimePoint now = self->clock_.Now();
  for (auto entry = self->idle_.begin(); entry != self->idle_.end();) {
    auto& connections = entry->second;
    while (!connections.empty() && connections.front()->idle_until() <= now) {
      connections.pop_front();
    }
    entry = connections.empty() ? self->idle_.erase(entry) : std::next(entry);
  }
  return G_SOURCE_CONTINUE;
}

size_t HttpClient::idle_connection_count() const {
  size_t count = 0;
  for (const auto& [address, connections] : idle_) {
    count += connections.size();
  }
  return count;
}

}  // namespace peridotmill
