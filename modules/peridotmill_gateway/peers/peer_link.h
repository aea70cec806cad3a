#ifndef PERIDOTMILL_GATEWAY_PEERS_PEER_LINK_H_
#define PERIDOTMILL_GATEWAY_PEERS_PEER_LINK_H_

#include <memory>
#include <string>
#include <string_view>

namespace peridotmill {

// Receives what comes over a link, never within a call of the link.
class PeerLinkListener {
 public:
  virtual ~PeerLinkListener() = default;
  virtual void OnLinkFrame(std::string_view frame) = 0;
  // The link's last callback; it may destroy the link.
  virtual void OnLinkLost() = 0;
};

// A connection to another node that carries frames in order. Destroying it
// closes it without a callback.
class PeerLink {
 public:
  virtual ~PeerLink() = default;
  // Frames that are not delivered when the link is lost are lost with it.
  virtual void Send(std::string_view frame) = 0;
};

// Opens links to other nodes.
class PeerDialer {
 public:
  virtual ~PeerDialer() = default;
  // Always returns a link; one that cannot be established is lost later.
  virtual std::unique_ptr<PeerLink> Dial(const std::string& address,
                                         PeerLinkListener* listener) = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PEERS_PEER_LINK_H_
