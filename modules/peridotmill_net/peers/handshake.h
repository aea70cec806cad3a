#ifndef PERIDOTMILL_NET_PEERS_HANDSHAKE_H_
#define PERIDOTMILL_NET_PEERS_HANDSHAKE_H_

#include <optional>
#include <string>
#include <string_view>

#include "peridotmill_net/peers/handshake_codec.h"

namespace peridotmill {

enum class HandshakeRole : uint8_t { kDialler, kListener };

// Who a node is, and the key that all nodes of a deployment share.
struct PeerIdentity {
  NodeId node;
  Incarnation incarnation;
  std::string shared_key;
};

// Random bytes for a handshake; unpredictable, unlike the seeded Random.
std::string NewChallenge();

// MAC by which `prover`, acting in `role`, shows `verifier` that it knows the
// key. It covers both sides' ids, incarnations and challenges, so it is valid
// on one connection and in one direction only.
std::string ProofMac(std::string_view shared_key,
                     HandshakeRole role,
                     const HandshakeHello& prover,
                     const HandshakeHello& verifier);

// One side of the mutual authentication of a connection, without a socket.
// Both sides send Hello; the dialler proves itself first, so that a stranger
// who dials receives no proof.
class Handshake {
 public:
  // kMalformed: a handshake frame that cannot be read. kNotAuthenticated: a
  // wrong proof, a frame out of order or of another kind, or an unexpected id.
  enum class Fault : uint8_t { kNone, kMalformed, kNotAuthenticated };

  struct Step {
    Fault fault = Fault::kNone;
    // Payload to send to the other side, or empty.
    std::string reply;
    // Whether the other side is authenticated.
    bool complete = false;
  };

  // `challenge` is kChallengeSize bytes from a secure source. A dialler gives
  // the id that it expects to reach.
  Handshake(HandshakeRole role,
            PeerIdentity identity,
            std::string challenge,
            std::optional<NodeId> expected_peer);

  // Payload to send when the connection is open.
  std::string Hello() const;

  Step OnFrame(std::string_view payload);

  HandshakeRole role() const { return role_; }
  // Valid when complete.
  const HandshakeHello& peer() const { return *peer_; }

 private:
  Step OnHello(HandshakeHello hello);
  Step OnProof(const HandshakeProof& proof);
  std::string OwnProof() const;

  HandshakeRole role_;
  std::string shared_key_;
  HandshakeHello own_;
  std::optional<NodeId> expected_peer_;
  std::optional<HandshakeHello> peer_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_PEERS_HANDSHAKE_H_
