#include "peridotmill_net/peers/peer_transport.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "peridotmill_net/peers/backoff.h"
#include "peridotmill_net/peers/tie_break.h"
#include "peridotmill_net/soup/listen_socket.h"

namespace peridotmill {
namespace {

using ConnectionPtr = std::shared_ptr<PeerConnection>;

// A connection that lasted for this time shows that the peer works, so the
// next failure starts from the shortest delay.
constexpr int64_t kStableTimeUs = 2'000'000;

ConnectionRank RankOf(const PeerConnection& connection, const NodeId& own) {
  return {connection.incarnation(),
          connection.is_dialler() ? own : connection.peer()};
}

}  // namespace

class PeerTransport::State final : public PeerConnection::Owner {
 public:
  State(PeerTransportSettings settings, PeerTransportEvents events)
      : settings_(std::move(settings)),
        events_(std::move(events)),
        random_(settings_.seed) {}

  ~State() override {
    if (service_ != nullptr) {
      g_signal_handlers_disconnect_by_data(service_.get(), this);
      g_socket_service_stop(service_.get());
      g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
    }
    for (auto& [peer, dial] : dials_) {
      StopTimer(dial.timer);
    }
    StopTimer(ended_timer_);
    for (const ConnectionPtr& connection : connections_) {
      connection->Close();
    }
  }

  Result<void> Listen() {
    auto listening = BindListenSocket(settings_.listen_address);
    if (!listening) {
      return tl::unexpected(listening.error());
    }
    service_ = std::move(listening->service);
    port_ = listening->port;
    g_signal_connect(service_.get(), "incoming", G_CALLBACK(OnIncoming), this);
    g_socket_service_start(service_.get());
    return {};
  }

  void Connect(const ConnectPeer& command) {
    if (command.peer.empty() || command.peer == own() ||
        (!dials_.contains(command.peer) &&
         dials_.size() >= settings_.max_peers)) {
      return;
    }
    Dial& dial = dials_[command.peer];
    if (dial.address != command.address) {
      dial.address = command.address;
      dial.failures = 0;
      StopTimer(dial.timer);
      if (dial.connection != nullptr && !dial.connection->is_authenticated()) {
        Drop(std::exchange(dial.connection, nullptr));
      }
    }
    if (dial.timer == 0) {
      StartDial(command.peer);
    }
  }

  void Disconnect(const NodeId& peer) {
    if (const auto dial = dials_.find(peer); dial != dials_.end()) {
      StopTimer(dial->second.timer);
      if (const ConnectionPtr connection = dial->second.connection) {
        Drop(connection);
      }
      dials_.erase(dial);
    }
    if (const auto found = current_.find(peer); found != current_.end()) {
      Drop(found->second);
      current_.erase(found);
    }
    std::erase(ended_, peer);
  }

  bool Send(const SendPeerFrame& command) {
    const auto found = current_.find(command.peer);
    if (found == current_.end()) {
      return false;
    }
    if (command.payload.empty() ||
        command.payload.size() > kMaxPeerPayloadBytes) {
      return false;
    }
    if (found->second->Send(command.payload)) {
      return true;
    }
    EndLater(command.peer);
    return false;
  }

  void RejectFrame(const NodeId& peer) {
    if (current_.contains(peer)) {
      EndLater(peer);
      faults_.push_back(Reason::kPeerFrameMalformed);
    }
  }

  uint16_t port() const { return port_; }
  size_t connected_count() const { return current_.size(); }
  uint64_t bytes_sent() const { return bytes_sent_; }
  uint64_t bytes_received() const { return bytes_received_; }

 private:
  struct Dial {
    std::string address;
    // Failures in a row.
    int failures = 0;
    guint timer = 0;
    // Null while waiting for the timer or for another connection to end.
    ConnectionPtr connection;
  };

  struct RedialTask {
    State* state;
    NodeId peer;
  };

  const NodeId& own() const { return settings_.identity.node; }

  static void StopTimer(guint& timer) {
    if (timer != 0) {
      g_source_remove(std::exchange(timer, 0));
    }
  }

  ConnectionPtr NewConnection(HandshakeRole role,
                              std::optional<NodeId> expected_peer) {
    auto connection = std::make_shared<PeerConnection>(
        *this, settings_.limits,
        Handshake(role, settings_.identity, NewChallenge(),
                  std::move(expected_peer)));
    connections_.insert(connection);
    return connection;
  }

  static gboolean OnIncoming(GSocketService* service,
                             GSocketConnection* connection,
                             GObject* source,
                             gpointer data) {
    (void)service;
    (void)source;
    auto* const state = static_cast<State*>(data);
    const auto unproven =
        std::count_if(state->connections_.begin(), state->connections_.end(),
                      [](const ConnectionPtr& open) {
                        return !open->is_authenticated() && !open->is_dialler();
                      });
    if (static_cast<size_t>(unproven) >= state->settings_.max_unproven) {
      g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
      state->events_.on_fault(Reason::kPeerNotAuthenticated);
      return TRUE;
    }
    state->NewConnection(HandshakeRole::kListener, std::nullopt)
        ->Accept(connection);
    return TRUE;
  }

  void StartDial(const NodeId& peer) {
    Dial& dial = dials_.at(peer);
    if (dial.connection != nullptr || current_.contains(peer)) {
      return;
    }
    dial.connection = NewConnection(HandshakeRole::kDialler, peer);
    dial.connection->Dial(dial.address);
  }

  // Dials again after the backoff, unless the peer is connected by then.
  void DialLater(const NodeId& peer) {
    const auto found = dials_.find(peer);
    if (found == dials_.end() || found->second.timer != 0 ||
        found->second.connection != nullptr) {
      return;
    }
    Dial& dial = found->second;
    ++dial.failures;
    const auto delay =
        BackoffDelay(dial.failures,
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         settings_.max_backoff),
                     random_);
    dial.timer = g_timeout_add_full(
        G_PRIORITY_DEFAULT, static_cast<guint>(delay.count()), OnRedial,
        new RedialTask{this, peer},
        [](gpointer task) { delete static_cast<RedialTask*>(task); });
  }

  static gboolean OnRedial(gpointer data) {
    const RedialTask task = *static_cast<RedialTask*>(data);
    task.state->dials_.at(task.peer).timer = 0;
    task.state->StartDial(task.peer);
    return G_SOURCE_REMOVE;
  }

  // Closes a connection and forgets it.
  void Drop(const ConnectionPtr& connection) {
    connection->Close();
    connections_.erase(connection);
  }

  // Ends the current connection now and reports it from the main loop.
  void EndLater(const NodeId& peer) {
    const ConnectionPtr connection = current_.at(peer);
    current_.erase(peer);
    Drop(connection);
    ReleaseDial(connection.get());
    ended_.push_back(peer);
    if (ended_timer_ == 0) {
      ended_timer_ = g_timeout_add_full(G_PRIORITY_HIGH, 0, OnEnded, this,
                                        /*notify=*/nullptr);
    }
  }

  static gboolean OnEnded(gpointer data) {
    auto* const state = static_cast<State*>(data);
    state->ended_timer_ = 0;
    state->ReportEnded();
    return G_SOURCE_REMOVE;
  }

  void ReportEnded() {
    for (const Reason fault : std::exchange(faults_, {})) {
      events_.on_fault(fault);
    }
    for (const NodeId& peer : std::exchange(ended_, {})) {
      events_.on_disconnected(peer);
      DialLater(peer);
    }
  }

  // Marks the dial that made this connection as ended. Returns the peer that
  // was dialled, or an empty id.
  NodeId ReleaseDial(const PeerConnection* connection) {
    for (auto& [peer, dial] : dials_) {
      if (dial.connection.get() == connection) {
        const bool was_stable =
            connection->is_authenticated() &&
            g_get_monotonic_time() - connection->authenticated_at_us() >=
                kStableTimeUs;
        dial.failures = was_stable ? 0 : dial.failures;
        dial.connection = nullptr;
        return peer;
      }
    }
    return {};
  }

  void OnAuthenticated(PeerConnection& connection) override {
    ReportEnded();
    const ConnectionPtr next = connection.shared_from_this();
    const NodeId peer = connection.peer();
    const auto found = current_.find(peer);
    if (found == current_.end()) {
      if (current_.size() >= settings_.max_peers) {
        Drop(next);
        DialLater(ReleaseDial(next.get()));
        return;
      }
      current_.emplace(peer, next);
      events_.on_connected(peer);
      return;
    }
    if (!Replaces(RankOf(*next, own()), RankOf(*found->second, own()))) {
      next->Retire();
      return;
    }
    const ConnectionPtr old = std::exchange(found->second, next);
    if (old->incarnation() == next->incarnation()) {
      old->Retire();
      return;
    }
    Drop(old);
    ReleaseDial(old.get());
    events_.on_disconnected(peer);
    events_.on_connected(peer);
  }

  void OnFrame(PeerConnection& connection, std::string payload) override {
    // A retired connection still delivers what was sent before the other side
    // chose the same current one.
    const auto found = current_.find(connection.peer());
    if (found != current_.end() &&
        found->second->incarnation() == connection.incarnation()) {
      events_.on_frame(NodeId(connection.peer()), std::move(payload));
    }
  }

  void OnClosed(PeerConnection& connection,
                std::optional<Reason> fault) override {
    connections_.erase(connection.shared_from_this());
    NodeId peer = ReleaseDial(&connection);
    bool was_current = false;
    if (connection.is_authenticated()) {
      peer = connection.peer();
      const auto found = current_.find(peer);
      was_current =
          found != current_.end() && found->second.get() == &connection;
      if (was_current) {
        current_.erase(found);
      }
    }
    if (fault) {
      events_.on_fault(*fault);
    }
    if (was_current) {
      events_.on_disconnected(peer);
    }
    if (!current_.contains(peer)) {
      DialLater(peer);
    }
  }

  void OnBytes(size_t sent, size_t received) override {
    bytes_sent_ += sent;
    bytes_received_ += received;
  }

  PeerTransportSettings settings_;
  PeerTransportEvents events_;
  Random random_;
  ObjectPtr<GSocketService> service_;
  uint16_t port_ = 0;
  // All open connections, and for each peer the one that carries frames.
  std::set<ConnectionPtr> connections_;
  std::map<NodeId, ConnectionPtr> current_;
  std::map<NodeId, Dial> dials_;
  // Ends within a call of the transport that are still to be reported.
  std::vector<NodeId> ended_;
  std::vector<Reason> faults_;
  guint ended_timer_ = 0;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
};

PeerTransport::PeerTransport(std::unique_ptr<State> state)
    : state_(std::move(state)) {}

PeerTransport::~PeerTransport() = default;

Result<std::unique_ptr<PeerTransport>> PeerTransport::Create(
    PeerTransportSettings settings,
    PeerTransportEvents events) {
  const PeerIdentity& identity = settings.identity;
  if (identity.node.empty() || identity.node.value().size() > kMaxNodeIdSize ||
      identity.shared_key.empty() || !events.on_connected ||
      !events.on_disconnected || !events.on_frame || !events.on_fault) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  auto state = std::make_unique<State>(std::move(settings), std::move(events));
  if (const auto listening = state->Listen(); !listening) {
    return tl::unexpected(listening.error());
  }
  return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(state)));
}

void PeerTransport::Connect(const ConnectPeer& command) {
  state_->Connect(command);
}

void PeerTransport::Disconnect(const ClosePeer& command) {
  state_->Disconnect(command.peer);
}

bool PeerTransport::Send(const SendPeerFrame& command) {
  return state_->Send(command);
}

void PeerTransport::RejectFrame(const NodeId& peer) {
  state_->RejectFrame(peer);
}

uint16_t PeerTransport::port() const {
  return state_->port();
}

size_t PeerTransport::connected_count() const {
  return state_->connected_count();
}

uint64_t PeerTransport::bytes_sent() const {
  return state_->bytes_sent();
}

uint64_t PeerTransport::bytes_received() const {
  return state_->bytes_received();
}

}  // namespace peridotmill
