#include <gtest/gtest.h>

#include <algorithm>

#include "peridotmill_http/server/http_server.h"
#include "peridotmill_http/tests/socket_peer.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

constexpr size_t kLargeBytes = 1'000'000;

std::string Head(size_t length) {
  return "POST /" + std::to_string(length) +
         " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n";
}

// A server whose memory holds three large bodies and a share for small ones.
class MemoryServerTest : public testing::Test {
 protected:
  void Start(size_t max_connections) {
    server_ = *HttpServer::Create(
        {.address = "127.0.0.1:0",
         .max_connections = max_connections,
         .memory = &memory_,
         .has_descriptors =
             [this](size_t callers, size_t requests) {
               return callers + requests <= max_descriptors_;
             }},
        clock_, [this](const auto& exchange) {
          exchanges_.push_back(exchange);
          bodies_.push_back(exchange->TakeRequest().body);
        });
  }
  std::unique_ptr<SocketPeer> Connect(const std::string& bytes) {
    auto peer = std::make_unique<SocketPeer>(server_->port());
    peer->Send(bytes);
    return peer;
  }
  bool WaitForRequests(size_t count) {
    return RunLoopUntil([&] { return exchanges_.size() >= count; });
  }
  static bool WaitForRefusal(SocketPeer& peer) {
    return RunLoopUntil([&] {
             return peer.Has("HTTP/1.1 503") && peer.end.has_value();
           }) &&
           peer.Has("\"execution\":\"not_run\"") && peer.Has("Retry-After: ");
  }

  SystemClock clock_;
  size_t max_descriptors_ = 1000;
  MemoryBudget memory_{
      {.total_bytes = 3'400'000, .small_share_bytes = 300'000}};
  std::vector<std::shared_ptr<HttpExchange>> exchanges_;
  std::vector<MessageBody> bodies_;
  std::unique_ptr<HttpServer> server_;
};

// Guards against a crowd whose bodies stop short and hold the memory that an
// ordinary large request needs.
TEST_F(MemoryServerTest, RefusesStalledBodiesForNewOnes) {
  Start(100);
  std::vector<std::unique_ptr<SocketPeer>> crowd(3);
  for (auto& peer : crowd) {
    peer = Connect(Head(kLargeBytes) + std::string(900'000, 'x'));
  }
  RunLoopFor(1200ms);
  const auto caller =
      Connect(Head(kLargeBytes) + std::string(kLargeBytes, 'y'));
  ASSERT_TRUE(WaitForRequests(1));
  EXPECT_EQ(bodies_[0].bytes(), std::string(kLargeBytes, 'y'));
  EXPECT_EQ(memory_.counters().refused_unfinished, 1U);
  const auto count_refused = [&] {
    return std::count_if(crowd.begin(), crowd.end(), [](const auto& peer) {
      return peer->Has("HTTP/1.1 503") && peer->end.has_value();
    });
  };
  EXPECT_TRUE(RunLoopUntil([&] { return count_refused() > 0; }));
  EXPECT_EQ(count_refused(), 1);
}

// Guards against accepted requests that are lost, and small ones that are
// refused, while large ones fill the memory; and memory that stays charged.
TEST_F(MemoryServerTest, KeepsAcceptedRequestsAndServesSmallOnes) {
  Start(100);
  std::vector<std::unique_ptr<SocketPeer>> callers;
  for (size_t i = 0; i < 3; ++i) {
    callers.push_back(
        Connect(Head(kLargeBytes) + std::string(kLargeBytes, 'x')));
    ASSERT_TRUE(WaitForRequests(i + 1));
  }
  // Its body is never sent: the refusal does not wait for it.
  const auto surplus = Connect(Head(kLargeBytes));
  EXPECT_TRUE(WaitForRefusal(*surplus));
  EXPECT_EQ(memory_.counters().refused_new, 1U);
  const auto chunked = Connect(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "80000\r\n" +
      std::string(0x80000, 'x'));
  EXPECT_TRUE(WaitForRefusal(*chunked));
  const auto small = Connect(Head(1000) + std::string(1000, 'x'));
  ASSERT_TRUE(WaitForRequests(4));
  for (const auto& exchange : exchanges_) {
    SendComplete(*exchange, {.status = 200}, "done");
  }
  for (const auto& caller : callers) {
    EXPECT_TRUE(RunLoopUntil([&] { return caller->Has("done"); }));
    caller->Close();
  }
  small->Close();
  EXPECT_GT(memory_.used_bytes(), 3 * kLargeBytes);
  bodies_.clear();
  exchanges_.clear();
  EXPECT_TRUE(RunLoopUntil([&] { return memory_.used_bytes() == 0; }));
}

// Guards against connections that callers leave open and that keep new callers
// out.
TEST_F(MemoryServerTest, ClosesAnUnusedConnectionForANewOne) {
  Start(2);
  const auto busy = Connect(Head(3) + "abc");
  ASSERT_TRUE(WaitForRequests(1));
  const auto stalled = Connect(Head(3));
  RunLoopFor(1200ms);
  const auto caller = Connect(Head(5) + "hello");
  ASSERT_TRUE(WaitForRequests(2));
  EXPECT_TRUE(RunLoopUntil([&] { return stalled->end.has_value(); }));
  EXPECT_TRUE(stalled->Has("HTTP/1.1 503"));
  EXPECT_FALSE(busy->end);
  EXPECT_EQ(server_->counters().closed_for_new_connections, 1U);
  // Both connections are in use now.
  const auto surplus = Connect("");
  EXPECT_TRUE(RunLoopUntil([&] { return surplus->end.has_value(); }));
  EXPECT_EQ(server_->counters().refused_connections, 1U);
}

// Guards against open requests whose calls take more descriptors than the
// process has, and against refusing requests although connections are idle.
TEST_F(MemoryServerTest, RefusesRequestsWithoutDescriptorsForTheirCalls) {
  Start(100);
  max_descriptors_ = 5;
  const auto first = Connect(Head(3) + "abc");
  const auto second = Connect(Head(3) + "abc");
  ASSERT_TRUE(WaitForRequests(2));
  const auto surplus = Connect(Head(3));
  EXPECT_TRUE(WaitForRefusal(*surplus));
  SendComplete(*exchanges_[0], {.status = 200}, "done");
  RunLoopFor(1200ms);
  max_descriptors_ = 4;
  const auto third = Connect(Head(3) + "abc");
  ASSERT_TRUE(WaitForRequests(3));
  EXPECT_TRUE(RunLoopUntil([&] { return first->end.has_value(); }));
  EXPECT_FALSE(second->end.has_value());
}

// Guards against running a request that was refused: one that had arrived
// behind an open one for so long that its connection seems stalled.
TEST_F(MemoryServerTest, NeverRunsARefusedPipelinedRequest) {
  Start(100);
  const auto caller = Connect(Head(3) + "abc" + Head(3) + "def");
  ASSERT_TRUE(WaitForRequests(1));
  RunLoopFor(1200ms);
  max_descriptors_ = 1;
  SendComplete(*exchanges_[0], {.status = 200}, "done");
  EXPECT_TRUE(WaitForRefusal(*caller));
  EXPECT_EQ(exchanges_.size(), 1U);
}

}  // namespace
}  // namespace peridotmill
