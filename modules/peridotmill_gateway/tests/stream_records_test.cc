#include <gtest/gtest.h>

#include "peridotmill_gateway/peridotmill_gateway.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;
using Kind = StreamVersionVerdict::Kind;

const PoolId kPool("engines");
const TeamId kTeam("alpine");

// Processes that share only the store. Each life of the fleet has new ones.
class StreamRecordsTest : public GatewayFixture {
 protected:
  struct Process {
    Process(StreamRecordsTest& test, const std::string& name)
        : store(test.memory_store_, test.timers_, name),
          versions({test.clock_, test.timers_, store, test.endpoints_,
                    test.events_, name, [this] { return is_current; },
                    [] { return size_t{3}; }}) {
      versions.SetConfiguration(*test.gateway_.configuration());
    }
    MemoryStoreChannel store;
    bool is_current = true;
    StreamVersions versions;
  };

  StreamRecordsTest() {
    endpoints_.Remove(EndpointId("e2"));
    Register("e1", "v1");
    StartAll();
  }

  void StartAll() {
    processes_.clear();
    ++life_;
    for (int i = 0; i < 3; ++i) {
      processes_.push_back(std::make_unique<Process>(
          *this, "n" + std::to_string(i) + "/" + std::to_string(life_)));
    }
    timers_.Advance(10ms);
  }
  void Register(const std::string& engine, const std::string& version) {
    EndpointRegistration registration =
        MakeRegistration(engine, "engines", "valley");
    registration.software_version = version;
    endpoints_.Put(registration);
  }
  void Begin(size_t process,
             const std::string& id,
             const std::string& version) {
    processes_[process]->versions.Bind(kPool, kTeam, RequestId(id), version);
  }
  // Returns the version that a process finds, or "?" if it is unknown.
  std::string Find(size_t process,
                   const std::string& id,
                   const TeamId& team = kTeam) {
    const TimePoint asked_at = clock_.Now();
    for (int i = 0; i < 300; ++i) {
      const auto verdict = processes_[process]->versions.Find(
          kPool, team, RequestId(id), asked_at);
      if (verdict.kind != Kind::kWait) {
        return verdict.kind == Kind::kKnown ? verdict.version : "?";
      }
      timers_.Advance(10ms);
    }
    return "no decision";
  }

  std::vector<std::unique_ptr<Process>> processes_;
  int life_ = 0;
};

// Guards against take-ups that go on at any version after all processes were
// killed, and against refusing all of them.
TEST_F(StreamRecordsTest, AKillOfAllProcessesForgetsNoRecordedVersion) {
  Register("e2", "v2");
  timers_.Advance(1s);
  for (int i = 0; i < 20; ++i) {
    Begin(i % 3, "s" + std::to_string(i), i % 2 == 0 ? "v1" : "v2");
  }
  timers_.Advance(1s);
  Begin(0, "late", "v1");
  StartAll();
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Find(i % 2, "s" + std::to_string(i)), i % 2 == 0 ? "v1" : "v2");
  }
  EXPECT_EQ(Find(0, "late"), "?");
  EXPECT_EQ(Find(1, "invented"), "?");
  EXPECT_EQ(Find(1, "s0", TeamId("other")), "?");
}

// Guards against a stream that goes on at the new version because the last
// endpoint of the old one had left before all processes were killed.
TEST_F(StreamRecordsTest, RemembersAVersionThatHadLeftBeforeTheKill) {
  Begin(0, "s", "v1");
  Register("e2", "v2");
  timers_.Advance(1s);
  endpoints_.Remove(EndpointId("e1"));
  timers_.Advance(5s);
  Begin(1, "t", "v2");
  timers_.Advance(1s);
  StartAll();
  EXPECT_EQ(Find(2, "s"), "v1");
  EXPECT_EQ(Find(2, "t"), "v2");
  EXPECT_EQ(Find(2, "unrecorded"), "?");
}

// Guards against refused take-ups, and against writes, while one version
// serves.
TEST_F(StreamRecordsTest, OneVersionNeedsNoRecord) {
  Begin(0, "s", "v1");
  EXPECT_EQ(Find(1, "s"), "v1");
  StartAll();
  EXPECT_EQ(Find(1, "s"), "v1");
  const int reads = memory_store_.read_and_watch_calls();
  timers_.Advance(kStreamLifetime + 1s);
  EXPECT_EQ(Find(2, "other"), "v1");
  EXPECT_EQ(memory_store_.read_and_watch_calls(), reads);
  StorePage page;
  const auto read = processes_[0]->store.ReadPrefix(
      kStreamKeyPrefix, "", [&page](const StorePage& p) { page = p; });
  timers_.Advance(1s);
  EXPECT_EQ(page.status, StoreCallStatus::kOk);
  EXPECT_TRUE(page.entries.empty());
}

// Guards against a node that takes the version it sees for the only one while
// it is cut off, or while the store is away in its first minute.
TEST_F(StreamRecordsTest, ANodeWithoutNewsRefusesWhatItDoesNotKnow) {
  Begin(0, "s", "v1");
  memory_store_.SetUnavailable(true);
  EXPECT_EQ(Find(1, "s"), "?");
  EXPECT_EQ(Find(0, "s"), "v1");
  memory_store_.SetUnavailable(false);
  timers_.Advance(kStreamLifetime + 1s);
  processes_[1]->is_current = false;
  EXPECT_EQ(Find(1, "s"), "?");
  processes_[1]->is_current = true;
  timers_.Advance(1s);
  EXPECT_EQ(Find(1, "s"), "v1");
}

// Guards against an id that a caller uses for two streams.
TEST_F(StreamRecordsTest, AnIdOfTwoStreamsIsUnknown) {
  Register("e2", "v2");
  timers_.Advance(1s);
  Begin(0, "s", "v1");
  Begin(1, "s", "v2");
  Begin(2, "t", "v1");
  Begin(2, "t", "v2");
  timers_.Advance(1s);
  StartAll();
  EXPECT_EQ(Find(0, "s"), "?");
  EXPECT_EQ(Find(0, "t"), "?");
}

// Guards against a take-up that names no stream and is answered by the version
// of another one.
TEST_F(StreamRecordsTest, AStreamWithoutANameIsUnknown) {
  Begin(0, "", "v1");
  EXPECT_EQ(Find(0, ""), "v1");
  Register("e2", "v2");
  timers_.Advance(1s);
  EXPECT_EQ(Find(0, ""), "?");
}

// Guards against streams that are never recorded because the store was away.
TEST_F(StreamRecordsTest, RecordsStreamsAfterAnOutage) {
  Register("e2", "v2");
  memory_store_.SetUnavailable(true);
  timers_.Advance(1s);
  Begin(0, "s", "v2");
  timers_.Advance(3s);
  memory_store_.SetUnavailable(false);
  timers_.Advance(5s);
  StartAll();
  EXPECT_EQ(Find(1, "s"), "v2");
}

// Guards against out-of-bounds reads on damaged records.
TEST(StreamRecordTest, RejectsDamagedRecords) {
  StreamRecord record;
  record.pools = {kPool};
  record.streams = {{StreamKey(7), "v1"}, {StreamKey(8), "v2"}};
  const std::string valid = EncodeStreamRecord(record);
  const auto decoded = DecodeStreamRecord(valid);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->pools, record.pools);
  ASSERT_EQ(decoded->streams.size(), 2u);
  EXPECT_EQ(decoded->streams[1].version, "v2");
  EXPECT_FALSE(DecodeStreamRecord(""));
  Random random(7);
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = valid;
    damaged[random.Below(damaged.size())] =
        static_cast<char>(random.Below(256));
    damaged.resize(random.Below(damaged.size()) + 1);
    (void)DecodeStreamRecord(damaged);
  }
}

}  // namespace
}  // namespace peridotmill
