#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_gateway/tests/manual_timer_queue.h"
#include "peridotmill_gateway/tests/memory_store.h"
#include "peridotmill_gateway/tests/peer_network.h"
#include "peridotmill_gateway/tests/replica_node.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

constexpr double kFastLink = 200e6 / 8;
constexpr double kSlowLink = 10e6 / 8;

std::string RandomName(Random& random) {
  constexpr int kLength = 7;
  std::string name;
  for (int i = 0; i < kLength; ++i) {
    name += static_cast<char>('a' + std::lround(random.Unit() * 25));
  }
  return name;
}

// A configuration document of about 300 bytes for each route.
class Document {
 public:
  void AddRoutes(int count) {
    for (int i = 0; i < count; ++i) {
      routes_.push_back(
          R"({"name":"r-)" + RandomName(random_) + R"(","host":")" +
          RandomName(random_) + R"(.example","path":"/)" + RandomName(random_) +
          "/" + RandomName(random_) +
          R"(/","kind":"streaming","timeout":5000,"target":1900,)"
          R"("priority":1,"pool":"chat-large","attempts":1,"stages":[)"
          R"({"pool":"members","after":[],"bytes":8000},)"
          R"({"pool":"shifts","after":[0],"bytes":60000}],)"
          R"("public":false,"sticky":true,"resumable":false,"gap":250})");
    }
  }
  // Returns the document under a new revision.
  std::string Publish() {
    std::string text =
        R"({"revision":)" + std::to_string(++revision_) + R"(,"routes":[)";
    for (const std::string& route : routes_) {
      text += route + ",";
    }
    return text + "{}]}";
  }

 private:
  Random random_{7};
  std::vector<std::string> routes_;
  int revision_ = 100;
};

// Three failure domains with two nodes on fast links and 14 on slow ones each.
class LargeConfigurationTest : public testing::Test {
 protected:
  LargeConfigurationTest()
      : timers_(clock_), store_(timers_), network_(timers_, clock_) {
    constexpr int kDomains = 3;
    constexpr int kFastNodes = 2;
    constexpr int kNodes = 16;
    document_.AddRoutes(100);
    store_.Write("config", document_.Publish());
    store_.Write("endpoints/a", "1");
    for (int domain = 0; domain < kDomains; ++domain) {
      for (int i = 0; i < kNodes; ++i) {
        const bool is_fast = i < kFastNodes;
        const std::string name =
            "n" + std::to_string(domain) + "-" + std::to_string(i);
        network_.SetBandwidth(name, is_fast ? kFastLink : kSlowLink);
        nodes_.push_back(std::make_unique<ReplicaNode>(
            name, "d" + std::to_string(domain), is_fast ? 0.5 : 0.12, clock_,
            timers_, store_, network_));
      }
    }
    for (const auto& node : nodes_) {
      node->Start();
    }
    timers_.Advance(15s);
  }

  // Writes the document and returns the time until all nodes have it; stops
  // after 30 s.
  Duration MeasurePropagationTime() {
    const std::string text = document_.Publish();
    store_.Write("config", text);
    const TimePoint start = clock_.Now();
    while (!std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
      return node->configuration == text;
    }) && clock_.Now() - start < 30s) {
      timers_.Advance(10ms);
    }
    return clock_.Now() - start;
  }

  int CountLostSources() const {
    int count = 0;
    for (const auto& node : nodes_) {
      count += static_cast<int>(
          std::count_if(node->events.lines.begin(), node->events.lines.end(),
                        [](const auto& line) {
                          return line.starts_with("replica_source_lost");
                        }));
    }
    return count;
  }

  size_t CountWatchers() const {
    return static_cast<size_t>(std::count_if(
        nodes_.begin(), nodes_.end(),
        [](const auto& node) { return node->replica.is_watching(); }));
  }

  ManualClock clock_;
  ManualTimerQueue timers_;
  MemoryStore store_;
  PeerNetwork network_;
  Document document_;
  std::vector<std::unique_ptr<ReplicaNode>> nodes_;
};

// Guards against nodes that drop live sources while a large configuration
// fills their links, and ask others for the whole document again.
TEST_F(LargeConfigurationTest, SlowLinksLoseNoSourceWhileItGrows) {
  const size_t watchers = CountWatchers();
  for (int i = 0; i < 3; ++i) {
    document_.AddRoutes(1400);
    EXPECT_LE(MeasurePropagationTime(), 2s) << "change " << i;
    timers_.Advance(1s);
    EXPECT_LE(MeasurePropagationTime(), 2s) << "after change " << i;
    timers_.Advance(3s);
  }
  EXPECT_EQ(CountLostSources(), 0);
  EXPECT_EQ(CountWatchers(), watchers);
  for (const auto& node : nodes_) {
    EXPECT_EQ(node->reverts, 0);
  }
}

// Guards against a small change that costs each node the whole document.
TEST_F(LargeConfigurationTest, ASmallChangeCostsWhatChanged) {
  document_.AddRoutes(1400);
  MeasurePropagationTime();
  timers_.Advance(10s);
  const std::string slow_node = "n0-15";
  const size_t before = network_.received_bytes(slow_node);
  document_.AddRoutes(1);
  EXPECT_LE(MeasurePropagationTime(), 1s);
  constexpr size_t kSmallChangeBytes = 10'000;
  EXPECT_LT(network_.received_bytes(slow_node) - before, kSmallChangeBytes);
}

// Guards against nodes that stay behind when the source of a large value is
// lost in the middle of it.
TEST_F(LargeConfigurationTest, ALostWatcherDelaysNoLargeChange) {
  document_.AddRoutes(2800);
  MeasurePropagationTime();
  timers_.Advance(5s);
  document_.AddRoutes(1400);
  const std::string text = document_.Publish();
  store_.Write("config", text);
  timers_.Advance(30ms);
  const auto lost = std::find_if(
      nodes_.begin(), nodes_.end(),
      [](const auto& node) { return node->replica.is_watching(); });
  network_.Isolate((*lost)->id.value());
  store_.Disconnect((*lost)->id.value());
  timers_.Advance(3s);
  for (const auto& node : nodes_) {
    EXPECT_TRUE(node == *lost || node->configuration == text)
        << node->id.value();
  }
}

// Guards against an upgrade in which nodes of the version before, which do not
// fetch values, get a configuration without its text.
TEST_F(LargeConfigurationTest, NodesThatDoNotFetchGetWholeValues) {
  document_.AddRoutes(1400);
  const std::string text = document_.Publish();
  store_.Write("config", text);
  timers_.Advance(5s);
  class OldSubscriber final : public PeerLinkListener {
   public:
    void OnLinkFrame(std::string_view frame) override {
      const auto message = DecodeReplicaMessage(frame);
      ASSERT_TRUE(message);
      if (const auto* const snapshot =
              std::get_if<SnapshotMessage>(&*message)) {
        for (const StoreEntry& entry : snapshot->entries) {
          values[entry.key] = entry.value;
        }
      }
    }
    void OnLinkLost() override {}
    std::map<std::string, std::string> values;
  };
  OldSubscriber subscriber;
  PeerNetwork::Dialer dialer(network_, "old");
  const auto link = dialer.Dial("n0-0", &subscriber);
  link->Send(EncodeReplicaMessage(SubscribeMessage{}));
  timers_.Advance(3s);
  EXPECT_EQ(subscriber.values["config"], text);
}

// Guards against an evacuation that nodes on slow links learn late, since they
// still fetch large configurations that come in quick succession.
TEST_F(LargeConfigurationTest, AStormOfConfigurationsDelaysNoEvacuation) {
  const std::string key = std::string(ReplicaNode::kEvacuationKeyPrefix) + "d1";
  TimePoint written;
  Duration last = Duration::zero();
  for (int step = 0; step < 500; ++step) {
    if (step % 40 == 0 && step < 300) {
      document_.AddRoutes(700);
      store_.Write("config", document_.Publish());
    }
    if (step == 202) {
      store_.Write(key, "");
      written = clock_.Now();
    }
    timers_.Advance(10ms);
    if (step >= 202 &&
        !std::all_of(nodes_.begin(), nodes_.end(), [](const auto& node) {
          return node->evacuated.contains("d1");
        })) {
      last = clock_.Now() - written;
    }
  }
  EXPECT_LE(last, 1s);
}

}  // namespace
}  // namespace peridotmill
