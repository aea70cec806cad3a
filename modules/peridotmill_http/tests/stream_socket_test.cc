#include <gtest/gtest.h>

#include <sys/socket.h>

#include <chrono>
#include <thread>

#include "peridotmill_http/tests/socket_peer.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

// Guards against a reset that looks like an orderly end, and completes a
// response without length, since a failed write has consumed the error.
TEST(StreamSocketTest, AResetThatAWriteHasNoticedIsNoOrderlyEnd) {
  ScriptedTcpServer server;
  const size_t colon = server.address.find(':');
  SocketPeer client(
      static_cast<uint16_t>(std::stoi(server.address.substr(colon + 1))));
  client.Send("request");
  ASSERT_TRUE(server.WaitFor(0, "request"));
  server.peers[0]->Send("part of a response");
  server.peers[0]->Abort();
  // The reset arrives before the client reads or writes again.
  std::this_thread::sleep_for(20ms);
  client.Send("more of the request");
  client.Send("more of the request");
  RunLoopUntil([&] { return client.end.has_value(); });
  EXPECT_EQ(client.end, SocketEnd::kReset);
}

}  // namespace
}  // namespace peridotmill
