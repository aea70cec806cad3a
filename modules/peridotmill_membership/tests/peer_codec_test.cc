#include <gtest/gtest.h>

#include <string>

#include "peridotmill_membership/peridotmill_membership.h"

namespace peridotmill {
namespace {

std::vector<PeerMessage> AllMessages() {
  const Member member{NodeId("n1"),          "host:7000",
                      FailureDomainId("d"),  Incarnation(7),
                      MemberState::kLeaving, 9};
  EndpointValue value;
  value.endpoint = 42;
  value.running = 3;
  value.waiting = 4;
  value.incarnation_tag = 5;
  value.memory_use = 6;
  value.is_leaving = true;
  const TeamId team("team");
  const IdempotencyKey key("key");
  const Nonce nonce("nonce");
  const std::string body("{\"a\":\0}", 7);
  const ActionAnswer answer{Execution::kUnknown, 502, body, "d"};
  return {
      HeartbeatMessage{NodeId("n1"), Incarnation(5), MemberState::kSuspect,
                       Revision(6), 7, 8},
      MemberDeltaMessage{{member, member}},
      LeavingMessage{NodeId("n1"), Incarnation(5), 6},
      ConfigHeadMessage{"{\"revision\":1}"},
      ConfigPartRequestMessage{"digest"},
      ConfigPartMessage{"digest", body, true},
      EndpointReportsMessage{Incarnation(1), 2, {value}, {{42, {1, 2}}}},
      CacheHintsMessage{{{1, 2}}, {{3, 4}}},
      TeamUseMessage{{{1, 2}, {3, 4}}},
      DomainSummaryMessage{{{1, 2, 3, 4}, {5, 6, 7, 8}}},
      DigestMessage{1, {{2, 3, 4}}},
      DigestReplyMessage{{{value, 9}}, {{42, {1}}}, {member}},
      ClaimRequest{team, key, "digest", nonce, NodeId("n1"), Incarnation(5),
                   std::chrono::milliseconds(250)},
      ClaimReply{nonce, ClaimStatus::kKeyReused, answer, NodeId("n2"),
                 Incarnation(6)},
      OutcomeRecord{team, key, nonce, true, answer},
      OutcomeAck{nonce},
      ActionLookup{RequestId("r1"), team, key},
      ActionLookupReply{RequestId("r1"), LookupStatus::kNotFound, answer,
                        NodeId("n2"), Incarnation(6)},
  };
}

// Guards against fields that are lost on the way. Encoding is canonical, so
// equal payloads mean equal messages.
TEST(PeerCodecTest, EveryMessageIsRestored) {
  const std::vector<PeerMessage> messages = AllMessages();
  ASSERT_EQ(messages.size(), std::variant_size_v<PeerMessage>);
  for (size_t i = 0; i < messages.size(); ++i) {
    ASSERT_EQ(messages[i].index(), i);
    const std::string payload = EncodePeerMessage(messages[i]);
    const Result<PeerMessage> decoded = DecodePeerMessage(payload);
    ASSERT_TRUE(decoded) << i;
    EXPECT_EQ(decoded->index(), i);
    EXPECT_EQ(EncodePeerMessage(*decoded), payload) << i;
  }
}

// Guards against fields that both directions leave out.
TEST(PeerCodecTest, FieldsHaveTheirValues) {
  const std::vector<PeerMessage> messages = AllMessages();
  const auto restored = [&messages](size_t i) {
    return *DecodePeerMessage(EncodePeerMessage(messages[i]));
  };
  const auto heartbeat = std::get<HeartbeatMessage>(restored(0));
  EXPECT_EQ(heartbeat.node, NodeId("n1"));
  EXPECT_EQ(heartbeat.incarnation, Incarnation(5));
  EXPECT_EQ(heartbeat.state, MemberState::kSuspect);
  EXPECT_EQ(heartbeat.revision, Revision(6));
  EXPECT_EQ(heartbeat.counter, 7U);
  EXPECT_EQ(heartbeat.report_sequence, 8U);
  EXPECT_EQ(std::get<MemberDeltaMessage>(restored(1)).members,
            std::get<MemberDeltaMessage>(messages[1]).members);
  EXPECT_EQ(std::get<EndpointReportsMessage>(restored(6)).values,
            std::get<EndpointReportsMessage>(messages[6]).values);
  EXPECT_EQ(std::get<EndpointReportsMessage>(restored(6)).models,
            std::get<EndpointReportsMessage>(messages[6]).models);
  EXPECT_EQ(std::get<TeamUseMessage>(restored(8)).entries,
            std::get<TeamUseMessage>(messages[8]).entries);
  EXPECT_EQ(std::get<DomainSummaryMessage>(restored(9)).pools,
            std::get<DomainSummaryMessage>(messages[9]).pools);
  const auto claim = std::get<ClaimRequest>(restored(12));
  EXPECT_EQ(claim.team, TeamId("team"));
  EXPECT_EQ(claim.key, IdempotencyKey("key"));
  EXPECT_EQ(claim.request_digest, "digest");
  EXPECT_EQ(claim.nonce, Nonce("nonce"));
  EXPECT_EQ(claim.claimant, NodeId("n1"));
  EXPECT_EQ(claim.claimant_incarnation, Incarnation(5));
  EXPECT_EQ(claim.time_left, std::chrono::milliseconds(250));
  const auto reply = std::get<ClaimReply>(restored(13));
  EXPECT_EQ(reply.status, ClaimStatus::kKeyReused);
  EXPECT_EQ(reply.holder, NodeId("n2"));
  EXPECT_EQ(reply.holder_incarnation, Incarnation(6));
  const auto outcome = std::get<OutcomeRecord>(restored(14));
  EXPECT_TRUE(outcome.is_void);
  EXPECT_EQ(outcome.answer, std::get<OutcomeRecord>(messages[14]).answer);
}

// Guards against reads outside a malformed frame and unknown contents taken as
// known ones.
TEST(PeerCodecTest, MalformedFramesAreErrors) {
  EXPECT_FALSE(DecodePeerMessage(""));
  EXPECT_FALSE(DecodePeerMessage("abc"));
  EXPECT_FALSE(DecodePeerMessage(std::string(64, '\xff')));
  EXPECT_EQ(DecodePeerMessage(std::string(kMaxPeerPayload + 1, 'x')).error(),
            make_error_code(Error::kTooLarge));
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Random random(seed);
    for (const PeerMessage& message : AllMessages()) {
      const std::string payload = EncodePeerMessage(message);
      EXPECT_FALSE(DecodePeerMessage(payload.substr(0, payload.size() / 2)));
      for (int i = 0; i < 200; ++i) {
        std::string damaged = payload;
        char& byte = damaged[random.Below(damaged.size())];
        byte = static_cast<char>(byte ^ (1 << random.Below(8)));
        const Result<PeerMessage> decoded = DecodePeerMessage(damaged);
        if (decoded) {
          EXPECT_FALSE(EncodePeerMessage(*decoded).empty());
        }
      }
    }
  }
}

}  // namespace
}  // namespace peridotmill
