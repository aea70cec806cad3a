#include <gtest/gtest.h>

#include "standins/peridotmill-standin/logic/fault_table.h"
#include "standins/peridotmill-standin/logic/run_record.h"
#include "standins/peridotmill-standin/logic/service_queue.h"
#include "standins/peridotmill-standin/scenario/scenario.h"
#include "standins/peridotmill-standin/servers/admin_json.h"

namespace peridotmill::standin {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

// Guards against faults outside their time or on other callers.
TEST(FaultTableTest, FaultsFollowTimeAndCallersDomain) {
  std::string error;
  const auto table = ReadFaults(
      R"([{"from_ms":100,"to_ms":200,"fault":"refuse","callers_domain":"a"},
          {"to_ms":50,"fault":"slow","factor":4}])",
      kStart, error);
  ASSERT_TRUE(table) << error;
  Random random(1);
  struct Case {
    int at_ms;
    const char* domain;
    bool is_refused;
    double factor;
  };
  const Case cases[] = {{0, "a", false, 4},
                        {99, "a", false, 1},
                        {100, "a", true, 1},
                        {150, "b", false, 1},
                        {200, "a", false, 1}};
  for (const Case& test_case : cases) {
    const TimePoint now = kStart + milliseconds(test_case.at_ms);
    EXPECT_EQ(DrawFault(*table, FaultKind::kRefuse, test_case.domain, now,
                        random) != nullptr,
              test_case.is_refused)
        << test_case.at_ms;
    EXPECT_EQ(SlowFactor(*table, test_case.domain, now), test_case.factor);
  }
  EXPECT_EQ(NextChange(*table, kStart), kStart + milliseconds(50));
  EXPECT_FALSE(ReadFaults(R"([{"fault":"tired"}])", kStart, error));
  EXPECT_EQ(error, "unknown fault `tired`");
}

// Guards against a withdrawn call that runs, and a running one that is undone.
TEST(ServiceQueueTest, OnlyWaitingCallsCanBeWithdrawn) {
  ServiceQueue queue;
  queue.settings.concurrency = 1;
  queue.settings.max_waiting = 1;
  EXPECT_TRUE(Submit(queue, 1, 1));
  EXPECT_EQ(Advance(queue, kStart).started, std::vector<uint64_t>{1});
  EXPECT_TRUE(Submit(queue, 2, 1));
  EXPECT_FALSE(Submit(queue, 3, 1));
  EXPECT_FALSE(Withdraw(queue, 1));
  EXPECT_TRUE(Withdraw(queue, 2));
  const ServiceStep step = Advance(queue, kStart + std::chrono::seconds(10));
  EXPECT_EQ(step.finished, std::vector<uint64_t>{1});
  EXPECT_TRUE(step.started.empty());
}

// Guards against runs of one key on two servers that are not added up.
TEST(RunRecordTest, RunsOfOneKeyAreAddedUpOverServers) {
  RunRecord first;
  RunRecord second;
  RecordRun(first, "bookings /call/book", "key", {"m1"});
  RecordRun(second, "bookings /call/book", "key", {"m1"});
  RecordRun(second, "bookings /call/charge", "key", {});
  RunRecord all;
  Merge(first, all);
  Merge(second, all);
  EXPECT_EQ(all.total, 3);
  EXPECT_EQ(all.by_key.at("bookings /call/book key"), 2);
  EXPECT_EQ(all.by_key.at("bookings /call/charge key"), 1);
  EXPECT_EQ(all.by_marker.at("m1"), 2);
}

// Guards against a check that stops at the first fault of a scenario.
TEST(ScenarioTest, AllFindingsAreReported) {
  Findings findings;
  ReadScenario(R"(stand_ins:
  - {id: a, kind: engine, address: "127.0.0.1:7100"}
  - {id: a, kind: wheel, address: "127.0.0.1:7100"}
  - {id: b, kind: store, address: nowhere, colour: red}
nodes:
  - {id: b, failure_domain: x}
)",
               "s.yaml", findings);
  const std::string report = ToString(findings);
  for (const char* expected :
       {"s.yaml:2: pool: missing", "s.yaml:2: failure_domain: missing",
        "s.yaml:3: kind: must be", "s.yaml:3: id: `a` is used twice",
        "s.yaml:3: address: `127.0.0.1:7100` is used twice",
        "s.yaml:4: colour: unknown field", "s.yaml:4: address: must be",
        "s.yaml:6: peer_address: must be"}) {
    EXPECT_NE(report.find(expected), std::string::npos)
        << expected << "\nnot in\n"
        << report;
  }
}

TEST(ScenarioTest, CountExpandsToConsecutivePorts) {
  Findings findings;
  const Scenario scenario = ReadScenario(
      "stand_ins: [{id: e, kind: engine, count: 3, pool: p, failure_domain: a, "
      "address: \"127.0.0.1:7100\"}]",
      "s.yaml", findings);
  EXPECT_EQ(ToString(findings), "");
  ASSERT_EQ(scenario.stand_ins.size(), 3u);
  EXPECT_EQ(scenario.stand_ins[2].id, "e-3");
  EXPECT_EQ(scenario.stand_ins[2].address, "127.0.0.1:7102");
}

}  // namespace
}  // namespace peridotmill::standin
