#include "peridotmill_net/peers/handshake.h"

#include <glib.h>

#include <algorithm>
#include <memory>
#include <random>
#include <utility>

namespace peridotmill {
namespace {

struct HmacUnref {
  void operator()(GHmac* hmac) const { g_hmac_unref(hmac); }
};
using HmacPtr = std::unique_ptr<GHmac, HmacUnref>;

void Update(GHmac* hmac, std::string_view bytes) {
  g_hmac_update(hmac, reinterpret_cast<const guchar*>(bytes.data()),
                static_cast<gssize>(bytes.size()));
}

void UpdateNumber(GHmac* hmac, uint64_t number) {
  char bytes[8];
  for (char& byte : bytes) {
    byte = static_cast<char>(number & 0xff);
    number >>= 8;
  }
  Update(hmac, {bytes, sizeof(bytes)});
}

// The length keeps neighbouring fields apart.
void UpdateField(GHmac* hmac, std::string_view bytes) {
  UpdateNumber(hmac, bytes.size());
  Update(hmac, bytes);
}

void UpdateHello(GHmac* hmac, const HandshakeHello& hello) {
  UpdateField(hmac, hello.node.value());
  UpdateNumber(hmac, static_cast<uint64_t>(hello.incarnation.value()));
  UpdateField(hmac, hello.challenge);
}

HandshakeRole Opposite(HandshakeRole role) {
  return role == HandshakeRole::kDialler ? HandshakeRole::kListener
                                         : HandshakeRole::kDialler;
}

// Takes the same time wherever the first difference is.
bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) {
    return false;
  }
  volatile unsigned char difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    difference = static_cast<unsigned char>(
        difference | static_cast<unsigned char>(a[i] ^ b[i]));
  }
  return difference == 0;
}

Handshake::Step FaultStep(Handshake::Fault fault) {
  Handshake::Step step;
  step.fault = fault;
  return step;
}

}  // namespace

std::string NewChallenge() {
  std::random_device source;
  std::string challenge(kChallengeSize, '\0');
  std::generate(challenge.begin(), challenge.end(),
                [&source] { return static_cast<char>(source() & 0xff); });
  return challenge;
}

std::string ProofMac(std::string_view shared_key,
                     HandshakeRole role,
                     const HandshakeHello& prover,
                     const HandshakeHello& verifier) {
  const HmacPtr hmac(g_hmac_new(
      G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(shared_key.data()),
      shared_key.size()));
  UpdateField(hmac.get(), "peridotmill-peer-1");
  UpdateField(hmac.get(),
              role == HandshakeRole::kDialler ? "dialler" : "listener");
  UpdateHello(hmac.get(), prover);
  UpdateHello(hmac.get(), verifier);
  std::string mac(kProofSize, '\0');
  gsize size = mac.size();
  g_hmac_get_digest(hmac.get(), reinterpret_cast<guint8*>(mac.data()), &size);
  return mac;
}

Handshake::Handshake(HandshakeRole role,
                     PeerIdentity identity,
                     std::string challenge,
                     std::optional<NodeId> expected_peer)
    : role_(role),
      shared_key_(std::move(identity.shared_key)),
      own_{std::move(identity.node), identity.incarnation,
           std::move(challenge)},
      expected_peer_(std::move(expected_peer)) {}

std::string Handshake::Hello() const {
  return EncodeHandshakeFrame(own_);
}

Handshake::Step Handshake::OnFrame(std::string_view payload) {
  if (!IsHandshakeFrame(payload)) {
    return FaultStep(Fault::kNotAuthenticated);
  }
  auto frame = DecodeHandshakeFrame(payload);
  if (!frame) {
    return FaultStep(Fault::kMalformed);
  }
  if (auto* const hello = std::get_if<HandshakeHello>(&*frame)) {
    return OnHello(std::move(*hello));
  }
  return OnProof(std::get<HandshakeProof>(*frame));
}

Handshake::Step Handshake::OnHello(HandshakeHello hello) {
  // A node that reaches itself, or its own Hello sent back to it, is refused.
  if (peer_ || hello.node == own_.node ||
      (expected_peer_ && hello.node != *expected_peer_)) {
    return FaultStep(Fault::kNotAuthenticated);
  }
  peer_ = std::move(hello);
  Step step;
  if (role_ == HandshakeRole::kDialler) {
    step.reply = OwnProof();
  }
  return step;
}

Handshake::Step Handshake::OnProof(const HandshakeProof& proof) {
  if (!peer_ ||
      !EqualInConstantTime(
          proof.mac, ProofMac(shared_key_, Opposite(role_), *peer_, own_))) {
    return FaultStep(Fault::kNotAuthenticated);
  }
  Step step;
  step.complete = true;
  if (role_ == HandshakeRole::kListener) {
    step.reply = OwnProof();
  }
  return step;
}

std::string Handshake::OwnProof() const {
  return EncodeHandshakeFrame(
      HandshakeProof{ProofMac(shared_key_, role_, own_, *peer_)});
}

}  // namespace peridotmill
