#include <gtest/gtest.h>

#include "peridotmill_gateway/peridotmill_gateway.h"
#include "peridotmill_gateway/tests/manual_timer_queue.h"
#include "peridotmill_gateway/tests/memory_store.h"
#include "peridotmill_gateway/tests/recording_events.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

const SuspectId kCulprit(0x1234000000000007);
using Kind = QuarantineVerdict::Kind;

// Nodes without links to one another, which share only the store.
class QuarantineRecordsTest : public testing::Test {
 protected:
  struct Node {
    Node(MemoryStore& memory_store,
         const Clock& clock,
         TimerQueue& timers,
         EventSink& events,
         const std::string& name)
        : store(memory_store, timers, name),
          retry_queue(timers, 1),
          records({clock, store, retry_queue, events}),
          quarantine(clock, timers, events, &records) {
      records.Load(
          [this](SuspectId id, int probes) { quarantine.Restore(id, probes); });
    }
    MemoryStoreChannel store;
    StoreRetryQueue retry_queue;
    QuarantineRecords records;
    CrashQuarantine quarantine;
  };

  QuarantineRecordsTest() : timers_(clock_), store_(timers_) { StartAll(); }

  void StartAll() {
    nodes_.clear();
    for (size_t i = 0; i < 4; ++i) {
      nodes_.push_back(std::make_unique<Node>(store_, clock_, timers_, events_,
                                              "n" + std::to_string(i)));
    }
    timers_.Advance(100ms);
  }
  // An endpoint crashes under the request at a node.
  void Crash(size_t node) {
    nodes_[node]->quarantine.RecordCrash(
        RequestId("q"), {EndpointId("e" + std::to_string(++crash_count_)), 1},
        clock_.Now(), kCulprit, {});
    timers_.Advance(300ms);
  }
  void QuarantineAtAll() {
    for (size_t node = 0; node < nodes_.size(); ++node) {
      for (int i = 0; i < 3; ++i) {
        Crash(node);
      }
    }
  }
  // Asks a node whether a request may run, until it has decided.
  Kind Ask(size_t node, const std::string& request) {
    CrashQuarantine& quarantine = nodes_[node]->quarantine;
    for (int i = 0; i < 300; ++i) {
      const auto verdict = quarantine.TryRun(RequestId(request), {kCulprit});
      if (verdict.kind != Kind::kAwaitProbe) {
        return verdict.kind;
      }
      timers_.Advance(10ms);
    }
    return Kind::kAwaitProbe;
  }
  // Returns how many nodes let a request run.
  int CountRuns() {
    int runs = 0;
    for (size_t node = 0; node < nodes_.size(); ++node) {
      runs += Ask(node, "q" + std::to_string(++request_count_)) == Kind::kRun;
    }
    return runs;
  }

  ManualClock clock_;
  ManualTimerQueue timers_;
  MemoryStore store_;
  RecordingEvents events_;
  std::vector<std::unique_ptr<Node>> nodes_;
  int crash_count_ = 0;
  int request_count_ = 0;
};

// Guards against a quarantine that ends with the processes.
TEST_F(QuarantineRecordsTest, AKillOfAllNodesForgetsNothing) {
  for (int i = 0; i < 3; ++i) {
    Crash(1);
  }
  StartAll();
  EXPECT_EQ(CountRuns(), 0);
  timers_.Advance(9s);
  EXPECT_EQ(CountRuns(), 0);
}

// Guards against a probe by each node when a quarantine ends.
TEST_F(QuarantineRecordsTest, OneNodeProbesForTheFleet) {
  QuarantineAtAll();
  timers_.Advance(11s);
  EXPECT_EQ(CountRuns(), 1);
  EXPECT_EQ(CountRuns(), 0);
}

// Guards against probes that are counted anew by each life of the fleet, and by
// nodes that hear nothing of one another.
TEST_F(QuarantineRecordsTest, TheFleetProbesThreeTimesThroughAllRestarts) {
  QuarantineAtAll();
  int runs = 0;
  for (int life = 0; life < 6; ++life) {
    for (int i = 0; i < 25; ++i) {
      timers_.Advance(10s);
      runs += CountRuns();
    }
    StartAll();
  }
  EXPECT_EQ(runs, kMaxProbes);
}

// Guards against a probe that no other node can know of.
TEST_F(QuarantineRecordsTest, ANodeWithoutTheStoreDoesNotProbe) {
  QuarantineAtAll();
  store_.Disconnect("n0");
  timers_.Advance(11s);
  EXPECT_EQ(Ask(0, "a"), Kind::kRefuse);
  store_.Reconnect("n0");
  timers_.Advance(2s);
  EXPECT_EQ(Ask(0, "b"), Kind::kRun);
}

// Guards against quarantines that are never recorded because the store was away
// when they began.
TEST_F(QuarantineRecordsTest, RecordsAQuarantineAfterAnOutage) {
  store_.SetUnavailable(true);
  for (int i = 0; i < 3; ++i) {
    Crash(2);
  }
  timers_.Advance(5s);
  store_.SetUnavailable(false);
  timers_.Advance(5s);
  StartAll();
  EXPECT_EQ(CountRuns(), 0);
}

// Guards against quarantines that a node does not learn of because the store
// was away when it started.
TEST_F(QuarantineRecordsTest, LoadsTheRecordsAfterAnOutage) {
  for (int i = 0; i < 3; ++i) {
    Crash(2);
  }
  store_.SetUnavailable(true);
  StartAll();
  timers_.Advance(3s);
  store_.SetUnavailable(false);
  timers_.Advance(3s);
  EXPECT_EQ(CountRuns(), 0);
}

// Guards against a sound request that stays refused after a restart although it
// has been answered.
TEST_F(QuarantineRecordsTest, AnAnswerRemovesTheRecord) {
  for (int i = 0; i < 3; ++i) {
    Crash(3);
  }
  timers_.Advance(11s);
  ASSERT_EQ(Ask(3, "probe"), Kind::kRun);
  nodes_[3]->quarantine.RecordSuccess({kCulprit});
  timers_.Advance(100ms);
  StartAll();
  EXPECT_EQ(CountRuns(), 4);
}

// Guards against a probe that is spent by a request which was never sent.
TEST_F(QuarantineRecordsTest, AnUnusedProbePassesToTheNextRequest) {
  for (int i = 0; i < 3; ++i) {
    Crash(3);
  }
  timers_.Advance(11s);
  ASSERT_EQ(Ask(3, "first"), Kind::kRun);
  nodes_[3]->quarantine.ReturnProbes(RequestId("first"));
  EXPECT_EQ(Ask(3, "second"), Kind::kRun);
  EXPECT_EQ(Ask(3, "third"), Kind::kRefuse);
}

// Guards against records of another writer that stop the node or are believed.
TEST_F(QuarantineRecordsTest, IgnoresMalformedRecords) {
  for (const char* const name : {"", "x", "12345678901234567890", "7 "}) {
    store_.Write(std::string(kQuarantineKeyPrefix) + name, "probes=1");
  }
  StartAll();
  EXPECT_FALSE(events_.Has("quarantine_restored"));
  EXPECT_EQ(DecodeQuarantineRecord("probes=-7"), 0);
  EXPECT_EQ(DecodeQuarantineRecord("probes=99999999999"), 0);
  EXPECT_EQ(DecodeQuarantineRecord("nothing"), 0);
  EXPECT_EQ(DecodeQuarantineRecord(EncodeQuarantineRecord(2)), 2);
}

}  // namespace
}  // namespace peridotmill
