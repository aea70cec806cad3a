#ifndef PERIDOTMILL_GATEWAY_PEERS_PEER_LINK_H_
#define PERIDOTMILL_GATEWAY_PEERS_PEER_LINK_H_

#include <memory>
#include <string>
#include <string_view>

namespace peridotmill {

// Receives the frames of a link. Callbacks never run within a call to the link.
class PeerLinkListener {
 public:
  virtual ~PeerLinkListener() = default;
  virtual void OnLinkFrame(std::string_view frame) = 0;
  // The connection was lost. This is the link's last callback; it may destroy
  // the link.
  virtual void OnLinkLost() = 0;
};

// A connection to another node that carries frames in order. Its destructor
// closes the connection without a callback.
class PeerLink {
 public:
  virtual ~PeerLink() = default;
  // Queues a frame. Frames that are not yet delivered when the link is lost are
  // lost too.
  virtual void Send(std::string_view frame) = 0;
};

// Opens links to other nodes.
class PeerDialer {
 public:
  virtual ~PeerDialer() = default;
  // Opens a link to `address` ("ip:port") and never returns null. If the
  // connection cannot be established, the listener's OnLinkLost is called
  // later.
  virtual std::unique_ptr<PeerLink> Dial(const std::string& address,
                                         PeerLinkListener* listener) = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PEERS_PEER_LINK_H_
