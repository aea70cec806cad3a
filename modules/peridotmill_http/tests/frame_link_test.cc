#include "peridotmill_http/peers/frame_link.h"

#include <gtest/gtest.h>

#include <vector>

#include "peridotmill_http/tests/socket_peer.h"

namespace peridotmill {
namespace {

class CollectingLinkListener final : public PeerLinkListener {
 public:
  void OnLinkFrame(std::string_view frame) override {
    frames.emplace_back(frame);
  }
  void OnLinkLost() override { is_lost = true; }

  std::vector<std::string> frames;
  bool is_lost = false;
};

// Guards against losing, joining or reordering frames.
TEST(FrameLinkTest, CarriesFramesInOrder) {
  CollectingLinkListener server;
  std::unique_ptr<PeerLink> accepted;
  const auto listener = *TcpListener::Create("127.0.0.1:0", [&](int fd) {
    accepted = FrameLink::Accepted(fd, &server);
  });
  CollectingLinkListener client;
  auto link =
      FrameLink::Dial("127.0.0.1:" + std::to_string(listener->port()), &client);
  const std::string large(100'000, 'x');
  link->Send("one");
  link->Send(large);
  link->Send("three");
  ASSERT_TRUE(RunLoopUntil([&] { return server.frames.size() == 3; }));
  EXPECT_EQ(server.frames, (std::vector<std::string>{"one", large, "three"}));
  accepted->Send("back");
  ASSERT_TRUE(RunLoopUntil([&] { return !client.frames.empty(); }));
  link.reset();
  EXPECT_TRUE(RunLoopUntil([&] { return server.is_lost; }));
}

// Guards against links that are never reported as lost: the peer is
// unreachable, its address is malformed, or it sends something else than
// frames.
TEST(FrameLinkTest, ReportsTheLossOfALink) {
  CollectingLinkListener unreachable;
  const auto unreachable_link = FrameLink::Dial("127.0.0.1:1", &unreachable);
  EXPECT_TRUE(RunLoopUntil([&] { return unreachable.is_lost; }));
  CollectingLinkListener malformed;
  const auto malformed_link = FrameLink::Dial("no address", &malformed);
  EXPECT_TRUE(RunLoopUntil([&] { return malformed.is_lost; }));

  CollectingLinkListener server;
  std::unique_ptr<PeerLink> accepted;
  const auto listener = *TcpListener::Create("127.0.0.1:0", [&](int fd) {
    accepted = FrameLink::Accepted(fd, &server);
  });
  SocketPeer http_client(listener->port());
  http_client.Send("GET / HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(RunLoopUntil([&] { return server.is_lost; }));
  EXPECT_TRUE(server.frames.empty());
}

}  // namespace
}  // namespace peridotmill
