#include "peridotmill_net/peers/peer_transport.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "main_loop.h"

namespace peridotmill {
namespace {

using std::chrono::milliseconds;

// A node's transport with what it reported.
class TestNode {
 public:
  explicit TestNode(const std::string& id,
                    int64_t incarnation = 1,
                    const std::string& key = "secret",
                    PeerConnection::Limits limits = {}) {
    PeerTransportSettings settings;
    settings.identity = {NodeId(id), Incarnation(incarnation), key};
    settings.listen_address = "127.0.0.1:0";
    settings.limits = limits;
    // The shortest delay of the backoff is kept, the longest cut for speed.
    settings.max_backoff = milliseconds(200);
    settings.max_unproven = 4;
    transport_ =
        PeerTransport::Create(
            settings, {[this](const NodeId& peer) { Change(peer, true); },
                       [this](const NodeId& peer) { Change(peer, false); },
                       [this](const NodeId& peer, const std::string& payload) {
                         frames_.push_back(peer.value() + ":" + payload);
                       },
                       [this](Reason fault) { faults_.Add(fault); }})
            .value();
  }

  PeerTransport& transport() { return *transport_; }
  const std::vector<std::string>& frames() const { return frames_; }
  uint64_t Faults(Reason reason) const { return faults_.Get(reason); }
  bool IsConnected(const std::string& peer) const {
    const auto found = connected_.find(peer);
    return found != connected_.end() && found->second;
  }
  int changes() const { return changes_; }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(transport_->port());
  }
  void Connect(const std::string& peer, const TestNode& node) {
    transport_->Connect({NodeId(peer), node.address()});
  }
  bool Send(const std::string& peer, const std::string& payload) {
    return transport_->Send({NodeId(peer), payload});
  }
  void Stop() { transport_.reset(); }

 private:
  void Change(const NodeId& peer, bool connected) {
    EXPECT_NE(IsConnected(peer.value()), connected) << "reports must alternate";
    connected_[peer.value()] = connected;
    ++changes_;
  }

  std::unique_ptr<PeerTransport> transport_;
  std::map<std::string, bool> connected_;
  std::vector<std::string> frames_;
  ReasonCounters faults_;
  int changes_ = 0;
};

// A stranger's TCP connection to a node.
class RawClient {
 public:
  explicit RawClient(const std::string& address) {
    const ObjectPtr<GSocketClient> client(g_socket_client_new());
    connection_.reset(g_socket_client_connect_to_host(
        client.get(), address.c_str(), 0, nullptr, nullptr));
    g_socket_set_blocking(socket(), FALSE);
  }
  void Write(const std::string& bytes) {
    g_socket_send(socket(), bytes.data(), bytes.size(), nullptr, nullptr);
  }
  // Reads what has arrived; true once the other side has closed.
  bool IsClosed() {
    char bytes[4096];
    GError* error = nullptr;
    const gssize size =
        g_socket_receive(socket(), bytes, sizeof(bytes), nullptr, &error);
    const bool would_block =
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    g_clear_error(&error);
    return size == 0 || (size < 0 && !would_block);
  }

 private:
  GSocket* socket() {
    return g_socket_connection_get_socket(connection_.get());
  }
  ObjectPtr<GSocketConnection> connection_;
};

TEST(PeerTransportTest, CarriesFramesBothWays) {
  TestNode a("a");
  TestNode b("b");
  a.Connect("b", b);
  ASSERT_TRUE(
      RunUntil([&] { return a.IsConnected("b") && b.IsConnected("a"); }));
  const std::string large(kMaxPeerPayloadBytes, 'x');
  EXPECT_TRUE(a.Send("b", "one"));
  EXPECT_TRUE(a.Send("b", large));
  EXPECT_TRUE(b.Send("a", "two"));
  ASSERT_TRUE(RunUntil(
      [&] { return b.frames().size() == 2 && a.frames().size() == 1; }));
  EXPECT_EQ(b.frames()[0], "a:one");
  EXPECT_EQ(b.frames()[1], "a:" + large);
  EXPECT_EQ(a.frames()[0], "b:two");
  EXPECT_GT(a.transport().bytes_sent(), kMaxPeerPayloadBytes);
  EXPECT_EQ(a.transport().bytes_sent(), b.transport().bytes_received());
  EXPECT_FALSE(a.Send("c", "unknown peer"));
  EXPECT_FALSE(a.Send("b", large + "x"));
  EXPECT_TRUE(a.IsConnected("b")) << "a frame over the limit is not sent";
}

// Guards against two connections that each carry a part of the frames, and
// against both sides closing the other's choice for ever.
TEST(PeerTransportTest, KeepsOneOfTwoConnections) {
  for (int round = 0; round < 20; ++round) {
    TestNode a("a");
    TestNode b("b");
    a.Connect("b", b);
    b.Connect("a", a);
    int sent = 0;
    // Frames flow while the connections are chosen.
    ASSERT_TRUE(RunUntil([&] {
      sent += a.Send("b", "x") ? 1 : 0;
      return sent >= 20 && a.IsConnected("b") && b.IsConnected("a") &&
             a.transport().connected_count() == 1 &&
             b.transport().connected_count() == 1;
    }));
    const size_t before = b.frames().size();
    ASSERT_TRUE(a.Send("b", "last"));
    ASSERT_TRUE(RunUntil([&] {
      return b.frames().size() > before && b.frames().back() == "a:last";
    }));
    EXPECT_EQ(a.Faults(Reason::kPeerNotAuthenticated), 0U);
    EXPECT_EQ(b.Faults(Reason::kPeerNotAuthenticated), 0U);
  }
}

// Guards against a stranger who gets in, stays without proof, or disturbs the
// connections of others.
TEST(PeerTransportTest, StrangersAreRefusedAndCounted) {
  const std::string hello =
      Handshake(HandshakeRole::kDialler,
                {NodeId("stranger"), Incarnation(1), "guess"},
                std::string(kChallengeSize, 'c'), std::nullopt)
          .Hello();
  struct Case {
    const char* name;
    std::string bytes;
    Reason reason;
  };
  const std::vector<Case> cases = {
      {"silent", "", Reason::kPeerNotAuthenticated},
      {"hello only", EncodeFrame(hello), Reason::kPeerNotAuthenticated},
      {"frame before proof", EncodeFrame(hello) + EncodeFrame("application"),
       Reason::kPeerNotAuthenticated},
      {"wrong proof",
       EncodeFrame(hello) + EncodeFrame(EncodeHandshakeFrame(
                                HandshakeProof{std::string(kProofSize, 'p')})),
       Reason::kPeerNotAuthenticated},
      {"cut frame", EncodeFrame(hello).substr(0, 20),
       Reason::kPeerNotAuthenticated},
      {"malformed", EncodeFrame(hello.substr(0, 20)),
       Reason::kPeerFrameMalformed},
      {"empty frame", std::string(4, '\0'), Reason::kPeerFrameMalformed},
      {"too large", std::string("\0\0\1\0", 4), Reason::kPeerFrameMalformed},
      {"another protocol", "GET / HTTP/1.1\r\n\r\n",
       Reason::kPeerFrameMalformed},
  };
  TestNode a("a");
  PeerConnection::Limits limits;
  limits.handshake_timeout = milliseconds(100);
  TestNode b("b", 1, "secret", limits);
  a.Connect("b", b);
  ASSERT_TRUE(RunUntil([&] { return b.IsConnected("a"); }));
  for (const Case& test : cases) {
    SCOPED_TRACE(test.name);
    const uint64_t before = b.Faults(test.reason);
    RawClient stranger(b.address());
    stranger.Write(test.bytes);
    EXPECT_TRUE(RunUntil([&] { return stranger.IsClosed(); }));
    EXPECT_EQ(b.Faults(test.reason), before + 1);
  }
  EXPECT_EQ(b.changes(), 1) << "the peer's connection must stay";
  EXPECT_TRUE(b.frames().empty());
}

TEST(PeerTransportTest, OtherKeyNeverConnects) {
  TestNode a("a", 1, "other");
  TestNode b("b");
  a.Connect("b", b);
  ASSERT_TRUE(
      RunUntil([&] { return b.Faults(Reason::kPeerNotAuthenticated) >= 3; }));
  EXPECT_EQ(a.changes() + b.changes(), 0);
}

// Guards against connections without proof that use up the node's descriptors.
TEST(PeerTransportTest, UnprovenConnectionsAreBounded) {
  TestNode b("b");
  std::vector<std::unique_ptr<RawClient>> strangers;
  strangers.reserve(8);
  for (int i = 0; i < 8; ++i) {
    strangers.push_back(std::make_unique<RawClient>(b.address()));
  }
  EXPECT_TRUE(
      RunUntil([&] { return b.Faults(Reason::kPeerNotAuthenticated) == 4; }));
}

// Guards against a peer that stays lost after a restart, and against frames to
// a process that has been replaced.
TEST(PeerTransportTest, ReconnectsToARestartedPeer) {
  TestNode a("a");
  auto b = std::make_unique<TestNode>("b");
  a.Connect("b", *b);
  ASSERT_TRUE(RunUntil([&] { return a.IsConnected("b"); }));
  b.reset();
  ASSERT_TRUE(RunUntil([&] { return !a.IsConnected("b"); }));
  EXPECT_FALSE(a.Send("b", "gone"));
  b = std::make_unique<TestNode>("b", 2);
  a.Connect("b", *b);
  ASSERT_TRUE(RunUntil([&] { return a.IsConnected("b"); }));
  // A second process with the same id replaces the first.
  TestNode newer("b", 3);
  newer.Connect("a", a);
  const int before = a.changes();
  ASSERT_TRUE(RunUntil([&] { return newer.IsConnected("a"); }));
  EXPECT_TRUE(RunUntil([&] { return a.changes() == before + 2; }));
  a.Send("b", "to the newest");
  EXPECT_TRUE(RunUntil([&] { return newer.frames().size() == 1; }));
  EXPECT_TRUE(b->frames().empty());
}

// Guards against unbounded memory for a peer that does not read.
TEST(PeerTransportTest, FullQueueDropsTheConnection) {
  PeerConnection::Limits limits;
  limits.max_queued = 100'000;
  TestNode a("a", 1, "secret", limits);
  TestNode b("b");
  a.Connect("b", b);
  ASSERT_TRUE(RunUntil([&] { return a.IsConnected("b"); }));
  const std::string payload(30'000, 'x');
  int sent = 0;
  // Nothing is written between these calls, as the loop does not run.
  while (sent < 100 && a.Send("b", payload)) {
    ++sent;
  }
  EXPECT_EQ(sent, 3);
  EXPECT_TRUE(a.IsConnected("b")) << "reported within the call";
  EXPECT_FALSE(a.Send("b", payload));
  EXPECT_TRUE(RunUntil([&] { return a.changes() == 3; })) << "not reconnected";
  EXPECT_TRUE(a.IsConnected("b"));
}

TEST(PeerTransportTest, RejectedFrameClosesOnlyItsConnection) {
  TestNode a("a");
  TestNode b("b");
  TestNode c("c");
  a.Connect("b", b);
  a.Connect("c", c);
  ASSERT_TRUE(
      RunUntil([&] { return a.IsConnected("b") && a.IsConnected("c"); }));
  a.transport().RejectFrame(NodeId("b"));
  EXPECT_TRUE(RunUntil([&] { return !a.IsConnected("b"); }));
  EXPECT_EQ(a.Faults(Reason::kPeerFrameMalformed), 1U);
  EXPECT_TRUE(a.IsConnected("c"));
  EXPECT_TRUE(RunUntil([&] { return a.IsConnected("b"); }));
}

TEST(PeerTransportTest, DisconnectEndsWithoutAReport) {
  TestNode a("a");
  TestNode b("b");
  a.Connect("b", b);
  ASSERT_TRUE(
      RunUntil([&] { return a.IsConnected("b") && b.IsConnected("a"); }));
  a.transport().Disconnect({NodeId("b")});
  ASSERT_TRUE(RunUntil([&] { return !b.IsConnected("a"); }));
  EXPECT_EQ(a.changes(), 1);
  EXPECT_EQ(a.transport().connected_count(), 0U);
}

TEST(PeerTransportTest, RefusesUnusableSettings) {
  const PeerTransportEvents events = {
      [](const NodeId&) {}, [](const NodeId&) {},
      [](const NodeId&, const std::string&) {}, [](Reason) {}};
  const TestNode taken("x");
  struct Case {
    const char* node;
    const char* key;
    std::string address;
  };
  for (const Case& test : std::vector<Case>{{"", "k", "127.0.0.1:0"},
                                            {"n", "", "127.0.0.1:0"},
                                            {"n", "k", "127.0.0.1:port"},
                                            {"n", "k", taken.address()}}) {
    PeerTransportSettings settings;
    settings.identity = {NodeId(test.node), Incarnation(1), test.key};
    settings.listen_address = test.address;
    EXPECT_FALSE(PeerTransport::Create(settings, events)) << test.address;
  }
}

}  // namespace
}  // namespace peridotmill
