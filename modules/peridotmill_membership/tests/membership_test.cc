#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "mesh_loop.h"

namespace peridotmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kSeeds[] = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10};

// Guards against old news that replaces newer news.
TEST(MemberNewsTest, PrecedenceOfNews) {
  struct Case {
    Member known;
    Member news;
    bool supersedes;
  };
  const auto member = [](int64_t incarnation, MemberState state,
                         uint32_t heartbeat) {
    return Member{
        NodeId("n"), "a",      FailureDomainId("d"), Incarnation(incarnation),
        state,       heartbeat};
  };
  using enum MemberState;
  const Case cases[] = {
      {member(1, kAlive, 5), member(1, kAlive, 6), true},
      {member(1, kAlive, 5), member(1, kAlive, 5), false},
      {member(1, kAlive, 5), member(1, kSuspect, 5), true},
      {member(1, kAlive, 5), member(1, kSuspect, 4), false},
      {member(1, kSuspect, 5), member(1, kAlive, 5), false},
      {member(1, kSuspect, 5), member(1, kAlive, 6), true},
      {member(1, kAlive, 9), member(1, kLeaving, 3), true},
      {member(1, kLeaving, 3), member(1, kAlive, 9), false},
      {member(1, kLeaving, 3), member(1, kDead, 3), true},
      {member(1, kDead, 5), member(1, kAlive, 5), false},
      {member(1, kDead, 5), member(1, kAlive, 6), true},
      {member(1, kDead, 5), member(1, kLeaving, 5), false},
      {member(1, kDead, 5), member(2, kAlive, 0), true},
      {member(2, kAlive, 0), member(1, kLeaving, 9), false},
      {member(2, kAlive, 0), member(1, kDead, 9), false},
  };
  for (const Case& test_case : cases) {
    EXPECT_EQ(Supersedes(test_case.news, test_case.known), test_case.supersedes)
        << &test_case - cases;
  }
}

void ExpectAllUsable(const MeshLoop& loop, const std::string& where) {
  for (const auto& [node, state] : loop.states) {
    for (const auto& [other, ignored] : loop.states) {
      if (node != other) {
        EXPECT_EQ(loop.StateOf(node, other), MemberState::kAlive)
            << where << ": " << other.value() << " at " << node.value();
      }
    }
  }
}

void ExpectConnected(const MeshLoop& loop, const std::string& where) {
  for (const auto& [node, state] : loop.states) {
    for (const NodeId& peer : WantedPeers(state)) {
      if (loop.states.contains(peer)) {
        EXPECT_TRUE(loop.IsLinked(node, peer))
            << where << ": " << node.value() << " " << peer.value();
      }
    }
  }
}

// Guards against false suspicion and missing connections in a healthy fleet,
// also with messages that are repeated or out of order.
TEST(MembershipTest, HealthyFleetIsConnected) {
  for (const uint64_t seed : kSeeds) {
    MeshLoop loop(3, 4, seed);
    loop.is_disordered = seed % 2 == 0;
    loop.RunFor(seconds(30));
    const std::string where = "seed " + std::to_string(seed);
    ExpectAllUsable(loop, where);
    ExpectConnected(loop, where);
    for (const auto& [node, change] : loop.changes) {
      EXPECT_NE(change.member.state, MemberState::kSuspect) << where;
      EXPECT_NE(change.member.state, MemberState::kDead) << where;
    }
  }
}

// Guards against a domain that is unreachable after its relays died.
TEST(MembershipTest, HalfDomainDeadGetsNewRelays) {
  for (const uint64_t seed : kSeeds) {
    MeshLoop loop(3, 6, seed);
    loop.RunFor(seconds(5));
    const std::vector<NodeId> relays =
        RelaysOf(loop.states.begin()->second, MeshLoop::Domain(0));
    std::vector<NodeId> victims = relays;
    for (int i = 0; victims.size() < 3; ++i) {
      const NodeId node = MeshLoop::Name(0, i);
      if (std::find(victims.begin(), victims.end(), node) == victims.end()) {
        victims.push_back(node);
      }
    }
    for (const NodeId& victim : victims) {
      loop.Kill(victim);
    }
    loop.RunFor(seconds(20));
    const std::string where = "seed " + std::to_string(seed);
    ExpectConnected(loop, where);
    for (const auto& [node, state] : loop.states) {
      for (const NodeId& victim : victims) {
        EXPECT_EQ(loop.StateOf(node, victim), MemberState::kDead)
            << where << ": " << victim.value() << " at " << node.value();
      }
      const auto now_relays = RelaysOf(state, MeshLoop::Domain(0));
      EXPECT_EQ(now_relays.size(), kRelaysPerDomain);
      EXPECT_EQ(std::count(now_relays.begin(), now_relays.end(), relays[0]), 0);
    }
  }
}

// Guards against a leaving node that still receives work, or that old news
// brings back.
TEST(MembershipTest, LeavingIsKnownEverywhereAtOnce) {
  for (const uint64_t seed : kSeeds) {
    MeshLoop loop(3, 4, seed);
    loop.is_disordered = true;
    loop.RunFor(seconds(5));
    const NodeId leaving = MeshLoop::Name(1, static_cast<int>(seed % 4));
    loop.Leave(leaving);
    for (const Duration wait :
         {Duration(milliseconds(400)), Duration(seconds(3))}) {
      loop.RunFor(wait);
      for (const auto& [node, state] : loop.states) {
        if (node != leaving) {
          EXPECT_EQ(loop.StateOf(node, leaving), MemberState::kLeaving)
              << "seed " << seed << " at " << node.value();
        }
      }
    }
  }
}

// Guards against a restarted or replaced host being taken for its predecessor.
TEST(MembershipTest, RestartAndReplacementAreOtherMembers) {
  for (const uint64_t seed : kSeeds) {
    MeshLoop loop(2, 4, seed);
    loop.RunFor(seconds(5));
    const NodeRecord restarted = loop.list.nodes[seed % 4];
    loop.Kill(restarted.id);
    loop.Start(restarted);
    // The same address under another name, in a list that lags.
    const NodeRecord old = loop.list.nodes[4 + seed % 4];
    loop.Kill(old.id);
    NodeRecord replacement = old;
    replacement.id = NodeId("replacement");
    loop.Start(replacement);
    loop.RunFor(seconds(3));
    const Incarnation incarnation =
        loop.states.at(restarted.id).self.incarnation;
    for (const auto& [node, state] : loop.states) {
      if (node != restarted.id) {
        EXPECT_EQ(state.entries.at(restarted.id).member.incarnation,
                  incarnation)
            << "seed " << seed << " at " << node.value();
      }
      if (node != replacement.id) {
        EXPECT_EQ(loop.StateOf(node, replacement.id), MemberState::kAlive)
            << "seed " << seed << " at " << node.value();
        if (state.self.failure_domain == old.failure_domain) {
          EXPECT_EQ(loop.StateOf(node, old.id), MemberState::kDead)
              << "seed " << seed << " at " << node.value();
        }
      }
    }
  }
}

// Guards against a paused node that declares the others dead when it resumes,
// and against peers that do not take it back.
TEST(MembershipTest, PausedNodeRefutesItsDeath) {
  for (const uint64_t seed : kSeeds) {
    MeshLoop loop(2, 4, seed);
    loop.RunFor(seconds(5));
    const NodeId node = MeshLoop::Name(0, static_cast<int>(seed % 4));
    loop.paused = node;
    loop.RunFor(seconds(4));
    EXPECT_EQ(
        loop.StateOf(MeshLoop::Name(0, static_cast<int>((seed + 1) % 4)), node),
        MemberState::kSuspect);
    loop.RunFor(seconds(26));
    EXPECT_EQ(
        loop.StateOf(MeshLoop::Name(0, static_cast<int>((seed + 1) % 4)), node),
        MemberState::kDead);
    loop.paused = NodeId();
    loop.changes.clear();
    loop.RunFor(seconds(5));
    ExpectAllUsable(loop, "seed " + std::to_string(seed));
    for (const auto& [at, change] : loop.changes) {
      if (at == node) {
        EXPECT_NE(change.member.state, MemberState::kDead) << "seed " << seed;
      }
    }
  }
}

// Guards against a domain that stays lost after a partition, and against a
// storm of connection attempts during it.
TEST(MembershipTest, CutDomainRejoins) {
  for (const uint64_t seed : kSeeds) {
    MeshLoop loop(3, 4, seed);
    loop.RunFor(seconds(5));
    loop.cut = MeshLoop::Domain(0);
    const uint64_t dials = loop.dials;
    loop.RunFor(seconds(60));
    for (int i = 0; i < 4; ++i) {
      for (int j = 0; j < 4; ++j) {
        if (i != j) {
          EXPECT_EQ(loop.StateOf(MeshLoop::Name(0, i), MeshLoop::Name(0, j)),
                    MemberState::kAlive);
        }
      }
    }
    // 2 relays in each domain, each with up to 4 peers that do not answer.
    EXPECT_LE(loop.dials - dials, uint64_t{6} * 4 * 60) << "seed " << seed;
    loop.cut = FailureDomainId();
    loop.RunFor(seconds(15));
    const std::string where = "seed " + std::to_string(seed);
    ExpectAllUsable(loop, where);
    ExpectConnected(loop, where);
  }
}

// Guards against a host list that overrules what the members say themselves.
TEST(MembershipTest, HostListIsOnlyAHint) {
  MeshLoop loop(2, 3, 1);
  loop.RunFor(seconds(5));
  const HostList before = loop.list;
  loop.list.nodes[0].is_leaving = true;
  loop.list.nodes.erase(loop.list.nodes.begin() + 1);
  loop.GiveHostList();
  loop.RunFor(seconds(70));
  ExpectAllUsable(loop, "lagging list");
}

// Guards against a table that grows without bound.
TEST(MembershipTest, MemberTableIsBounded) {
  const TimePoint now(std::chrono::hours(1));
  MembershipState state = MakeMembership(
      {NodeId("self"), "self:1", FailureDomainId("d0"), Incarnation(1), 1},
      now);
  MemberDeltaMessage message;
  for (int i = 0; i < 3000; ++i) {
    message.members.push_back({NodeId("m" + std::to_string(i)),
                               "m" + std::to_string(i) + ":1",
                               FailureDomainId("d1"), Incarnation(1)});
  }
  ApplyMemberDelta(state, NodeId("m0"), message, now);
  EXPECT_EQ(state.entries.size(), kMaxMembers);
  EXPECT_EQ(state.counters.refused_full, 3000 - kMaxMembers);
  const auto commands = TickMembership(state, {}, now + seconds(2));
  const auto dials = std::count_if(
      commands.begin(), commands.end(), [](const MembershipCommand& command) {
        return std::holds_alternative<DialPeer>(command);
      });
  EXPECT_LE(static_cast<size_t>(dials), kMaxDialsPerSecond);
}

}  // namespace
}  // namespace peridotmill
