#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>
#include <string>
#include <utility>

#include "fake_store.h"
#include "sample_objects.h"

namespace peridotmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A few distribution states with a store on logical time, in steps of 20 ms.
// The first two live nodes of a domain are its relays.
class DistributionLoop {
 public:
  static constexpr Duration kStep = milliseconds(20);

  DistributionLoop(int domains, int per_domain, uint64_t seed) : random_(seed) {
    for (int domain = 0; domain < domains; ++domain) {
      for (int i = 0; i < per_domain; ++i) {
        Start(Name(domain, i));
      }
    }
  }

  static NodeId Name(int domain, int i) {
    return NodeId("n" + std::to_string(domain) + "-" + std::to_string(i));
  }
  static int DomainOf(const NodeId& node) { return node.value()[1] - '0'; }

  void Start(const NodeId& node) {
    states[node] = MakeDistribution(node, random_.Next(), now);
    states[node].view = ViewOf(node);
    for (auto& [other, state] : states) {
      if (other != node && IsLinked(node, other)) {
        Run(other, ConfigPeerUp(state, node, now));
        Run(node, ConfigPeerUp(states[node], other, now));
      }
    }
  }

  void Publish(int concurrency, int teams = 3) {
    Publication publication = StartPublication(
        {Revision(revision), Nonce("n" + std::to_string(revision))},
        SampleObjects(teams, concurrency), 1);
    while (!publication.result) {
      if (const auto request = NextPublicationCall(publication, now)) {
        ApplyPublicationAnswer(publication, store.Apply(*request), now);
      }
    }
    ASSERT_EQ(publication.result->status, PublicationStatus::kPublished);
    ++revision;
    if (!lose_watch_events) {
      for (const auto& [node, call] : std::exchange(watches_, {})) {
        answers_.push_back({node, call, store.Apply(StoreRange{kHeadKey})});
      }
    }
  }

  void RunFor(Duration duration) {
    for (const TimePoint end = now + duration; now < end;) {
      Step();
    }
  }

  // Logical time until all nodes but `except` have the newest revision.
  Duration TimeUntilInForce(Duration limit, int except_domain = -1) {
    const TimePoint start = now;
    while (now - start < limit && !IsInForce(except_domain)) {
      Step();
    }
    return now - start;
  }

  bool IsInForce(int except_domain = -1) const {
    return std::all_of(states.begin(), states.end(), [&](const auto& item) {
      return item.first == paused || DomainOf(item.first) == except_domain ||
             StatusOf(item.second).revision == Revision(revision);
    });
  }

  void Rejoin() {
    cut = -1;
    for (auto& [node, state] : states) {
      for (auto& [other, ignored] : states) {
        if (DomainOf(node) != DomainOf(other) && IsLinked(node, other)) {
          Run(node, ConfigPeerUp(state, other, now));
        }
      }
    }
  }

  std::map<NodeId, ConfigDistribution> states;
  FakeStore store;
  TimePoint now = TimePoint(std::chrono::hours(1));
  int64_t revision = 0;
  bool is_store_down = false;
  bool lose_watch_events = false;
  bool is_disordered = false;
  // Domain without contact to the others and to the store.
  int cut = -1;
  NodeId paused;
  size_t store_reads = 0;
  int went_down = 0;

 private:
  struct Letter {
    NodeId from;
    NodeId to;
    DistributionCommand command;
  };
  struct Answer {
    NodeId node;
    ConfigCall call;
    StoreAnswer answer;
  };

  bool IsRelay(const NodeId& node) const {
    int before = 0;
    for (const auto& [other, state] : states) {
      before += DomainOf(other) == DomainOf(node) && other < node ? 1 : 0;
    }
    return before < 2;
  }

  bool IsLinked(const NodeId& a, const NodeId& b) const {
    if (DomainOf(a) == DomainOf(b)) {
      return true;
    }
    return DomainOf(a) != cut && DomainOf(b) != cut && IsRelay(a) && IsRelay(b);
  }

  DistributionPeers ViewOf(const NodeId& node) const {
    DistributionPeers view;
    view.failure_domain = FailureDomainId(std::to_string(DomainOf(node)));
    for (const auto& [other, state] : states) {
      if (DomainOf(other) == DomainOf(node)) {
        view.domain_members.push_back(other);
        if (other != node) {
          view.domain_peers.push_back(other);
        }
      } else if (IsLinked(node, other)) {
        view.remote_relays.push_back(other);
      }
    }
    return view;
  }

  void Run(const NodeId& node, const DistributionCommands& commands) {
    for (const DistributionCommand& command : commands) {
      if (const auto* call = std::get_if<CallConfigStore>(&command)) {
        CallStore(node, *call);
      } else if (const auto* head = std::get_if<SendConfigHead>(&command)) {
        letters_.push_back({node, head->peer, command});
      } else if (const auto* ask = std::get_if<RequestConfigPart>(&command)) {
        letters_.push_back({node, ask->peer, command});
      } else if (const auto* part = std::get_if<SendConfigPart>(&command)) {
        letters_.push_back({node, part->peer, command});
      } else if (const auto* applied = std::get_if<ConfigApplied>(&command)) {
        went_down += applied->revision <= highest_[node] ? 1 : 0;
        highest_[node] = applied->revision;
      } else if (std::holds_alternative<StopConfigWatch>(command)) {
        watches_.erase(node);
      }
    }
  }

  void CallStore(const NodeId& node, const CallConfigStore& call) {
    if (call.call.kind == ConfigCall::Kind::kWatchHead) {
      watches_[node] = call.call;
      return;
    }
    ++store_reads;
    // A store that is down does not answer at all.
    if (!is_store_down && DomainOf(node) != cut) {
      answers_.push_back({node, call.call, store.Apply(call.request)});
    }
  }

  void Deliver(const Letter& letter) {
    const auto found = states.find(letter.to);
    if (found == states.end() || !IsLinked(letter.from, letter.to)) {
      return;
    }
    ConfigDistribution& state = found->second;
    if (const auto* head = std::get_if<SendConfigHead>(&letter.command)) {
      Run(letter.to, ApplyPeerHead(state, letter.from, head->text, now));
    } else if (const auto* ask =
                   std::get_if<RequestConfigPart>(&letter.command)) {
      Run(letter.to, ApplyPartRequest(state, letter.from, ask->digest));
    } else if (const auto* part =
                   std::get_if<SendConfigPart>(&letter.command)) {
      Run(letter.to, ApplyPart(state, letter.from, part->digest, part->content,
                               part->found, now));
    }
  }

  void Heartbeats() {
    for (auto& [node, state] : states) {
      for (auto& [other, peer] : states) {
        if (node != other && node != paused && other != paused &&
            IsLinked(node, other)) {
          Run(other,
              ApplyPeerRevision(peer, node, StatusOf(state).revision, now));
        }
      }
    }
  }

  void Step() {
    now += kStep;
    std::vector<Letter> letters = std::exchange(letters_, {});
    for (size_t i = letters.size(); is_disordered && i > 1; --i) {
      std::swap(letters[i - 1], letters[random_.Below(i)]);
    }
    for (const Letter& letter : letters) {
      if (letter.to == paused) {
        letters_.push_back(letter);
        continue;
      }
      Deliver(letter);
      if (is_disordered && random_.Below(3) == 0) {
        Deliver(letter);
      }
    }
    for (const Answer& answer : std::exchange(answers_, {})) {
      if (states.contains(answer.node) && answer.node != paused) {
        Run(answer.node, ApplyConfigAnswer(states.at(answer.node), answer.call,
                                           answer.answer, now));
      }
    }
    if (now.time_since_epoch() % seconds(1) == Duration(0)) {
      Heartbeats();
    }
    for (auto& [node, state] : states) {
      // As the node does it: no step before the time that was asked for.
      if (node != paused && NextDistributionWakeup(state, now) <= now) {
        Run(node, TickDistribution(state, ViewOf(node), now));
      }
    }
  }

  Random random_;
  std::vector<Letter> letters_;
  std::vector<Answer> answers_;
  std::map<NodeId, ConfigCall> watches_;
  std::map<NodeId, Revision> highest_;
};

// Guards against a configuration that arrives later than 3 s at a reachable
// node, or that goes back, under each fault.
TEST(DistributionTest, InForceWithinThreeSeconds) {
  enum class Fault { kNone, kLostWatch, kDisorder, kHalfDomainDead };
  for (const Fault fault : {Fault::kNone, Fault::kLostWatch, Fault::kDisorder,
                            Fault::kHalfDomainDead}) {
    Duration worst{};
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      DistributionLoop loop(3, 4, seed);
      loop.lose_watch_events = fault == Fault::kLostWatch;
      loop.is_disordered = fault == Fault::kDisorder;
      loop.Publish(1);
      loop.RunFor(seconds(3));
      ASSERT_TRUE(loop.IsInForce()) << "seed " << seed;
      if (fault == Fault::kHalfDomainDead) {
        loop.states.erase(DistributionLoop::Name(0, 0));
        loop.states.erase(DistributionLoop::Name(0, 1));
      }
      loop.RunFor(milliseconds(20 * (seed * 37 % 50)));
      for (int i = 2; i < 6; ++i) {
        loop.Publish(i);
        worst = std::max(worst, loop.TimeUntilInForce(seconds(10)));
      }
      EXPECT_EQ(loop.went_down, 0);
      EXPECT_EQ(loop.states.begin()
                    ->second.objects->pools.at(PoolId("engines"))
                    .concurrency,
                5);
    }
    std::cout << "fault " << static_cast<int>(fault) << ": worst "
              << std::chrono::duration_cast<milliseconds>(worst).count()
              << " ms\n";
    EXPECT_LE(worst, seconds(3)) << static_cast<int>(fault);
  }
}

// Guards against a cut domain that loses its configuration or does not catch
// up, and against a paused node that goes back.
TEST(DistributionTest, CutDomainAndPausedNodeCatchUp) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    DistributionLoop loop(3, 4, seed);
    loop.Publish(1);
    loop.RunFor(seconds(3));
    loop.cut = 0;
    loop.paused = DistributionLoop::Name(1, 3);
    loop.Publish(2);
    EXPECT_LE(loop.TimeUntilInForce(seconds(10), 0), seconds(3));
    loop.Publish(3);
    loop.RunFor(seconds(30));
    EXPECT_EQ(StatusOf(loop.states.at(DistributionLoop::Name(0, 0))).revision,
              Revision(1));
    loop.paused = NodeId();
    loop.Rejoin();
    EXPECT_LE(loop.TimeUntilInForce(seconds(10)), seconds(3)) << seed;
    EXPECT_EQ(loop.went_down, 0);
  }
}

// Guards against a node that cannot start while the store is down, starts with
// an old revision, or starts late at the design size.
TEST(DistributionTest, StartWithoutStore) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    DistributionLoop loop(2, 4, seed);
    loop.Publish(1, 2000);
    loop.RunFor(seconds(8));
    ASSERT_TRUE(loop.IsInForce());
    loop.is_store_down = true;
    const NodeId node = DistributionLoop::Name(0, static_cast<int>(seed % 4));
    loop.states.erase(node);
    loop.RunFor(seconds(1));
    loop.Start(node);
    loop.RunFor(seconds(1));
    const DistributionStatus status = StatusOf(loop.states.at(node));
    EXPECT_TRUE(status.is_serving) << "seed " << seed;
    EXPECT_EQ(status.revision, Revision(1));
    EXPECT_FALSE(status.from.empty());
  }
}

// Guards against a node that serves without any configuration.
TEST(DistributionTest, NothingAnswersAtStart) {
  DistributionLoop loop(1, 1, 1);
  loop.is_store_down = true;
  loop.RunFor(seconds(10));
  EXPECT_FALSE(StatusOf(loop.states.begin()->second).is_serving);
}

// Guards against an invalid or malformed configuration in force, and against a
// false head that blocks the true ones.
TEST(DistributionTest, InvalidAndMalformedHeadsAreRefused) {
  DistributionLoop loop(1, 2, 1);
  loop.Publish(1);
  loop.RunFor(seconds(3));
  const NodeId node = DistributionLoop::Name(0, 0);
  const NodeId peer = DistributionLoop::Name(0, 1);
  ConfigDistribution& state = loop.states.at(node);
  for (const char* text : {"", "{", "[]", "{\"revision\":9}"}) {
    EXPECT_TRUE(ApplyPeerHead(state, peer, text, loop.now).empty());
  }
  EXPECT_EQ(state.counters.malformed_heads, 4U);
  // A valid form whose set fails validation.
  ConfigHead head = *state.head;
  head.revision = Revision(2);
  head.nonce = Nonce("invalid");
  std::string digest;
  std::string content;
  head.parts.clear();
  for (const Part& part : SplitIntoParts(InvalidObjects())) {
    head.parts.push_back({part.name, part.digest});
    if (!state.parts.contains(part.digest) &&
        part.content.find("team-0") != std::string::npos) {
      digest = part.digest;
      content = part.content;
    } else if (!state.parts.contains(part.digest)) {
      state.parts[part.digest] = part.content;
    }
  }
  ApplyPeerHead(state, peer, EncodeHead(head), loop.now);
  ApplyPart(state, peer, digest, "damaged", true, loop.now);
  EXPECT_EQ(state.counters.digest_mismatches, 1U);
  const auto commands = ApplyPart(state, peer, digest, content, true, loop.now);
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<ConfigRejected>(commands[0]));
  EXPECT_EQ(StatusOf(state).revision, Revision(1));
  EXPECT_EQ(StatusOf(state).rejected, 1U);
  EXPECT_TRUE(ApplyPeerHead(state, peer, EncodeHead(head), loop.now).empty());
  // A head whose parts nobody has.
  head.revision = Revision(1000);
  head.nonce = Nonce("false");
  head.parts[0].digest = "nowhere";
  ApplyPeerHead(state, peer, EncodeHead(head), loop.now);
  loop.Publish(2);
  loop.RunFor(seconds(15));
  EXPECT_EQ(StatusOf(state).revision, Revision(2));
}

// Guards against more store reads than the platform allows: 9 nodes in 3
// domains make 6.3/s.
TEST(DistributionTest, StoreReadsAreBounded) {
  DistributionLoop loop(3, 3, 1);
  loop.Publish(1);
  loop.RunFor(seconds(10));
  const size_t before = loop.store_reads;
  loop.RunFor(seconds(100));
  const double rate = static_cast<double>(loop.store_reads - before) / 100;
  std::cout << "store reads " << rate << "/s\n";
  EXPECT_LE(rate, 6.5);
}

// Guards against a recovery that asks the store for all parts at once.
TEST(DistributionTest, StoreFetchesArePaced) {
  DistributionLoop loop(1, 1, 1);
  loop.Publish(1, 2000);
  loop.RunFor(seconds(1));
  EXPECT_LE(loop.states.begin()->second.counters.store_fetches, 41U);
  loop.RunFor(seconds(4));
  EXPECT_TRUE(loop.IsInForce());
}

// Guards against an edit that fetches unchanged parts, or that leaves removed
// objects in force.
TEST(DistributionTest, OnlyChangedPartsAreFetched) {
  DistributionLoop loop(1, 1, 1);
  loop.Publish(1, 2000);
  loop.RunFor(seconds(8));
  const ConfigDistribution& state = loop.states.begin()->second;
  const uint64_t before = state.counters.store_fetches;
  loop.Publish(1, 1999);
  loop.RunFor(seconds(3));
  EXPECT_EQ(state.counters.store_fetches - before, 1U);
  EXPECT_EQ(state.objects->teams.size(), 1999U);
  EXPECT_TRUE(ObjectDifference(*state.objects, SampleObjects(1999, 1)).empty());
}

// Guards against a node that gets messages all the time and therefore never
// fetches the parts that the pace held back.
TEST(DistributionTest, FrequentEventsDoNotPutOffFetches) {
  DistributionLoop loop(1, 1, 1);
  loop.Publish(1, 2000);
  loop.RunFor(milliseconds(40));
  const ConfigDistribution& state = loop.states.begin()->second;
  ASSERT_TRUE(state.pending);
  const TimePoint due = NextDistributionWakeup(state, loop.now);
  EXPECT_EQ(NextDistributionWakeup(state, loop.now + milliseconds(10)), due);
}

}  // namespace
}  // namespace peridotmill
