#ifndef PERIDOTMILL_HTTP_PEERS_FRAME_LINK_H_
#define PERIDOTMILL_HTTP_PEERS_FRAME_LINK_H_

#include <glib.h>

#include <memory>
#include <string>
#include <string_view>

#include "peridotmill_core/framing/frame_decoder.h"
#include "peridotmill_gateway/peers/peer_link.h"
#include "peridotmill_http/sockets/stream_socket.h"

namespace peridotmill {

// A link to another node that sends length-prefixed frames over TCP. The
// listener must outlive the link.
class FrameLink final : public PeerLink {
 public:
  // Starts to connect to `address`, "a.b.c.d:port". If that fails, the listener
  // gets OnLinkLost() from the main loop.
  static std::unique_ptr<PeerLink> Dial(const std::string& address,
                                        PeerLinkListener* listener);
  // Takes over the descriptor of an accepted connection.
  static std::unique_ptr<PeerLink> Accepted(int descriptor,
                                            PeerLinkListener* listener);

  ~FrameLink() override;

  void Send(std::string_view frame) override;

 private:
  // Owns the socket. Outlives the link until the main loop is idle, so that the
  // link may be destroyed in a callback.
  class Connection;

  explicit FrameLink(std::unique_ptr<Connection> connection);

  std::unique_ptr<Connection> connection_;
};

// Creates outgoing FrameLinks.
class FrameDialer final : public PeerDialer {
 public:
  std::unique_ptr<PeerLink> Dial(const std::string& address,
                                 PeerLinkListener* listener) override {
    return FrameLink::Dial(address, listener);
  }
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_PEERS_FRAME_LINK_H_
