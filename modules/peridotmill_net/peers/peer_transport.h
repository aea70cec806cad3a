#ifndef PERIDOTMILL_NET_PEERS_PEER_TRANSPORT_H_
#define PERIDOTMILL_NET_PEERS_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_core/reasons/reason.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_net/peers/handshake.h"
#include "peridotmill_net/peers/peer_connection.h"
#include "peridotmill_node/interface/node_command.h"

namespace peridotmill {

struct PeerTransportSettings {
  PeerIdentity identity;
  // "ip:port"; port 0 takes any free port.
  std::string listen_address;
  PeerConnection::Limits limits;
  // A peer that cannot be reached is dialled again after a random time between
  // half and all of a delay that doubles from 200 ms up to this one.
  Duration max_backoff = std::chrono::seconds(2);
  // Accepted connections that have not proved themselves, and peers that have.
  size_t max_unproven = 64;
  size_t max_peers = 1024;
  // Seed of the backoff's jitter.
  uint64_t seed = 0;
};

// Called from the main loop, never within a call of PeerTransport. A callback
// must not destroy the transport.
struct PeerTransportEvents {
  // Alternate for each peer, beginning with on_connected.
  std::function<void(const NodeId&)> on_connected;
  std::function<void(const NodeId&)> on_disconnected;
  std::function<void(const NodeId&, std::string)> on_frame;
  // A connection was closed because the other side broke the protocol.
  std::function<void(Reason)> on_fault;
};

// Framed, authenticated connections between nodes on the default GLib main
// context. At most one connection to each peer carries frames: of two that the
// peers dialled to each other, the one dialled by the lower node id.
class PeerTransport {
 public:
  // Errors: kMalformed for an unusable identity or address, kUnavailable when
  // the address cannot be bound.
  static Result<std::unique_ptr<PeerTransport>> Create(
      PeerTransportSettings settings,
      PeerTransportEvents events);

  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Keeps a connection to the peer open until Disconnect.
  void Connect(const ConnectPeer& command);
  // Closes the connection and stops dialling, without on_disconnected.
  void Disconnect(const ClosePeer& command);

  // Returns false when the peer is not connected. When the queue is full the
  // connection is dropped, on_disconnected follows, and the result is false.
  bool Send(const SendPeerFrame& command);

  // Closes the connection of a peer whose frame could not be read and counts
  // it; on_disconnected follows.
  void RejectFrame(const NodeId& peer);

  // Port that is listened on.
  uint16_t port() const;
  size_t connected_count() const;
  // Bytes on the wire, of all connections since the start.
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;

 private:
  class State;

  explicit PeerTransport(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_PEERS_PEER_TRANSPORT_H_
