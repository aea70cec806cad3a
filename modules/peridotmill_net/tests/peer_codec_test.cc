#include <gtest/gtest.h>

#include <vector>

#include "peridotmill_core/framing/frame_decoder.h"
#include "peridotmill_net/peers/backoff.h"
#include "peridotmill_net/peers/handshake.h"
#include "peridotmill_net/peers/tie_break.h"

namespace peridotmill {
namespace {

constexpr size_t kMaxFrame = 10;

struct SplitResult {
  std::vector<std::string> frames;
  std::error_code error;
};

SplitResult Split(const std::vector<std::string>& pieces) {
  FrameDecoder buffer(kMaxFrame);
  SplitResult result;
  for (const std::string& piece : pieces) {
    buffer.Append(piece);
    for (auto frame = buffer.Next();; frame = buffer.Next()) {
      if (!frame) {
        result.error = frame.error();
        return result;
      }
      if (!frame->has_value()) {
        break;
      }
      result.frames.push_back(**frame);
    }
  }
  return result;
}

// Guards against frames lost, merged or invented at the borders of reads.
TEST(FrameBufferTest, SplitsAnyPieces) {
  const std::string ab = EncodeFrame("ab");
  const std::string c = EncodeFrame("c");
  const std::string largest = EncodeFrame(std::string(kMaxFrame, 'x'));
  const std::string zero(kFrameHeaderBytes, '\0');
  struct Case {
    const char* name;
    std::vector<std::string> pieces;
    std::vector<std::string> frames;
    std::error_code error;
  };
  const std::vector<Case> cases = {
      {"nothing", {}, {}, {}},
      {"whole", {ab}, {"ab"}, {}},
      {"coalesced", {ab + c + ab}, {"ab", "c", "ab"}, {}},
      {"cut in the length", {ab.substr(0, 2), ab.substr(2)}, {"ab"}, {}},
      {"cut in the payload",
       {ab.substr(0, 5), ab.substr(5) + c},
       {"ab", "c"},
       {}},
      {"rest missing", {c + ab.substr(0, 5)}, {"c"}, {}},
      {"largest", {largest}, {std::string(kMaxFrame, 'x')}, {}},
      {"empty", {c + zero}, {"c"}, Error::kMalformed},
      {"too large, known by its length",
       {c, std::string("\x0b\0\0\0", 4)},
       {"c"},
       Error::kTooLarge},
      {"largest length", {"\xff\xff\xff\xff"}, {}, Error::kTooLarge},
  };
  for (const Case& test : cases) {
    const SplitResult result = Split(test.pieces);
    EXPECT_EQ(result.frames, test.frames) << test.name;
    EXPECT_EQ(result.error, test.error) << test.name;
  }
  // Byte by byte.
  std::vector<std::string> bytes;
  for (const char byte : ab + c) {
    bytes.emplace_back(1, byte);
  }
  EXPECT_EQ(Split(bytes).frames, (std::vector<std::string>{"ab", "c"}));
}

PeerIdentity IdentityOf(const char* node, const char* key = "secret") {
  return {NodeId(node), Incarnation(7), key};
}

Handshake Side(HandshakeRole role,
               const PeerIdentity& identity,
               std::optional<NodeId> expected = std::nullopt) {
  const char fill = role == HandshakeRole::kDialler ? 'd' : 'l';
  return Handshake(role, identity, std::string(kChallengeSize, fill),
                   std::move(expected));
}

using Fault = Handshake::Fault;

struct Outcome {
  Fault dialler = Fault::kNone;
  Fault listener = Fault::kNone;
  bool dialler_complete = false;
  bool listener_complete = false;
};

Outcome RunHandshake(Handshake dialler, Handshake listener) {
  Outcome outcome;
  const auto proof = dialler.OnFrame(listener.Hello());
  outcome.dialler = proof.fault;
  outcome.listener = listener.OnFrame(dialler.Hello()).fault;
  if (outcome.dialler != Fault::kNone || outcome.listener != Fault::kNone) {
    return outcome;
  }
  const auto reply = listener.OnFrame(proof.reply);
  outcome.listener = reply.fault;
  outcome.listener_complete = reply.complete;
  if (reply.complete) {
    const auto last = dialler.OnFrame(reply.reply);
    outcome.dialler = last.fault;
    outcome.dialler_complete = last.complete;
  }
  return outcome;
}

TEST(HandshakeTest, BothSidesProveTheKey) {
  const Outcome outcome =
      RunHandshake(Side(HandshakeRole::kDialler, IdentityOf("a"), NodeId("b")),
                   Side(HandshakeRole::kListener, IdentityOf("b")));
  EXPECT_TRUE(outcome.dialler_complete);
  EXPECT_TRUE(outcome.listener_complete);
}

// Guards against a node that talks to a stranger, to itself or to another node
// than the one it dialled.
TEST(HandshakeTest, RefusesOthers) {
  const auto listener = Side(HandshakeRole::kListener, IdentityOf("b"));
  const Outcome other_key = RunHandshake(
      Side(HandshakeRole::kDialler, IdentityOf("a", "guess")), listener);
  EXPECT_EQ(other_key.listener, Fault::kNotAuthenticated);
  EXPECT_FALSE(other_key.listener_complete || other_key.dialler_complete);
  EXPECT_EQ(
      RunHandshake(Side(HandshakeRole::kDialler, IdentityOf("b")), listener)
          .listener,
      Fault::kNotAuthenticated);
  EXPECT_EQ(
      RunHandshake(Side(HandshakeRole::kDialler, IdentityOf("a"), NodeId("c")),
                   listener)
          .dialler,
      Fault::kNotAuthenticated);
}

// Guards against frames that skip or repeat a step, and against proofs that are
// replayed or sent back.
TEST(HandshakeTest, RefusesFramesOutOfPlace) {
  const auto own = [] {
    return Side(HandshakeRole::kListener, IdentityOf("b"));
  };
  const HandshakeHello a{NodeId("a"), Incarnation(7),
                         std::string(kChallengeSize, 'd')};
  const HandshakeHello b{NodeId("b"), Incarnation(7),
                         std::string(kChallengeSize, 'l')};
  HandshakeHello old_b = b;
  old_b.challenge[0] = 'x';
  HandshakeHello other_process = a;
  other_process.incarnation = Incarnation(8);
  const auto proof = [](HandshakeRole role, const HandshakeHello& prover,
                        const HandshakeHello& verifier) {
    return EncodeHandshakeFrame(
        HandshakeProof{ProofMac("secret", role, prover, verifier)});
  };
  const std::string hello = EncodeHandshakeFrame(a);
  const std::string good = proof(HandshakeRole::kDialler, a, b);
  struct Case {
    const char* name;
    std::vector<std::string> frames;
    Fault fault;
  };
  const std::vector<Case> cases = {
      {"good", {hello, good}, Fault::kNone},
      {"proof first", {good}, Fault::kNotAuthenticated},
      {"two hellos", {hello, hello}, Fault::kNotAuthenticated},
      {"application frame",
       {hello, "application data"},
       Fault::kNotAuthenticated},
      {"replayed proof",
       {hello, proof(HandshakeRole::kDialler, a, old_b)},
       Fault::kNotAuthenticated},
      {"other direction",
       {hello, proof(HandshakeRole::kListener, a, b)},
       Fault::kNotAuthenticated},
      {"proof sent back",
       {hello, proof(HandshakeRole::kListener, b, a)},
       Fault::kNotAuthenticated},
      {"other incarnation",
       {hello, proof(HandshakeRole::kDialler, other_process, b)},
       Fault::kNotAuthenticated},
      {"cut hello", {hello.substr(0, hello.size() / 2)}, Fault::kMalformed},
      {"cut proof", {hello, good.substr(0, 12)}, Fault::kMalformed},
      {"short proof",
       {hello, EncodeHandshakeFrame(HandshakeProof{"short"})},
       Fault::kMalformed},
      {"short challenge",
       {EncodeHandshakeFrame(HandshakeHello{NodeId("a"), {}, "short"})},
       Fault::kMalformed},
      {"no node id",
       {EncodeHandshakeFrame(HandshakeHello{NodeId(), {}, a.challenge})},
       Fault::kMalformed},
      {"long node id",
       {EncodeHandshakeFrame(HandshakeHello{
           NodeId(std::string(kMaxNodeIdSize + 1, 'n')), {}, a.challenge})},
       Fault::kMalformed},
  };
  for (const Case& test : cases) {
    Handshake side = own();
    Handshake::Step last;
    for (const std::string& frame : test.frames) {
      EXPECT_EQ(last.fault, Fault::kNone) << test.name;
      last = side.OnFrame(frame);
    }
    EXPECT_EQ(last.fault, test.fault) << test.name;
    EXPECT_EQ(last.complete, test.fault == Fault::kNone) << test.name;
  }
}

// Guards against a crash on any damaged handshake frame.
TEST(HandshakeTest, SurvivesDamagedBytes) {
  const std::string hello =
      Side(HandshakeRole::kDialler, IdentityOf("a")).Hello();
  for (size_t i = 0; i < hello.size(); ++i) {
    for (const int change : {0x01, 0x80, 0xff}) {
      std::string damaged = hello;
      damaged[i] = static_cast<char>(damaged[i] ^ change);
      DecodeHandshakeFrame(damaged);
      DecodeHandshakeFrame(hello.substr(0, i));
    }
  }
}

// Guards against both sides closing the connection that the other one keeps.
TEST(TieBreakTest, BothSidesKeepTheSameConnection) {
  const ConnectionRank by_a{Incarnation(1), NodeId("a")};
  const ConnectionRank by_b{Incarnation(1), NodeId("b")};
  EXPECT_TRUE(Replaces(by_a, by_b));
  EXPECT_FALSE(Replaces(by_b, by_a));
  EXPECT_TRUE(Replaces(by_b, by_b)) << "the older one is broken";
  const ConnectionRank restarted{Incarnation(2), NodeId("b")};
  EXPECT_TRUE(Replaces(restarted, by_a));
  EXPECT_FALSE(Replaces(by_a, restarted));
}

TEST(BackoffTest, StaysWithinBounds) {
  using std::chrono::milliseconds;
  Random random(1);
  for (int failures = 1; failures < 100; ++failures) {
    const auto delay = BackoffDelay(failures, milliseconds(2000), random);
    EXPECT_GE(delay, milliseconds(100));
    EXPECT_LE(delay, milliseconds(2000));
    EXPECT_GE(delay, milliseconds(failures > 4 ? 1000 : 0));
  }
}

}  // namespace
}  // namespace peridotmill
