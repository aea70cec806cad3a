#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tools/peridotmill-experiment/summing/fleet_result.h"
#include "tools/peridotmill-experiment/summing/policy_result.h"

namespace peridotmill::experiment {
namespace {

// Guards against counters of one node replacing those of another.
TEST(MetricsText, AddsUpPages) {
  MetricsText metrics;
  metrics.Add("# HELP a x\na 1\nb{stage=\"s\",team=\"t,\\\"}\"} 2\n");
  metrics.Add("a 3\nb{stage=\"s\",team=\"u\"} 5\n");
  EXPECT_EQ(metrics.Sum("a"), 4);
  EXPECT_EQ(metrics.Sum("b"), 7);
  EXPECT_EQ(metrics.By("b", "stage").at("s"), 7);
  EXPECT_EQ(metrics.By("b", "team").at("t,\"}"), 2);
  EXPECT_EQ(metrics.Sum("absent"), 0);
}

// Guards against ratios with the wrong denominator.
TEST(PolicyLine, DividesByOfferedOnTimeSpendAndFirstAttempts) {
  MetricsText metrics;
  metrics.Add(
      "peridotmill_spend_micro_units_total{stage=\"s\"} 8000000\n"
      "peridotmill_wasted_spend_micro_units_total{stage=\"s\"} 2000000\n"
      "peridotmill_first_attempts_total 10\n"
      "peridotmill_repeated_attempts_total 1\n");
  LoadSummary load;
  load.offered = 5;
  load.on_time = 4;
  load.duplicates = 0;
  load.false_not_run = 0;
  EXPECT_EQ(PolicyLine({"n", "p", "q", 7}, load, metrics),
            "RESULT name=n profile=p policy=q seed=7 offered=5 on_time=4 "
            "attainment=0.8000 cost=2.000000 wasted_spend=0.2500 "
            "retry_amplification=1.1000 duplicates=0 false_not_run=0 "
            "misdelivered=0");
}

struct InForceCase {
  const char* failure;
  const char* log;
  int64_t expected_ms;
};

// -1 stands for "never".
TEST(NodeLog, InForceTable) {
  const std::vector<InForceCase> cases = {
      {"an older revision counts", "0 up a 1 0\n120 up a 1 0\n150 up a 2 0\n",
       50},
      {"a later revision does not count", "90 up a 1 0\n140 up a 3 0\n", 40},
      {"a node that has it already gives a negative time", "90 up a 2 0\n", 0},
      {"a node that never has it passes", "90 up a 1 0\n900 up a 1 0\n", -1},
      {"time out of reach counts", "110 down\n500 up a 1 0\n530 up a 2 0\n",
       30},
      {"time before an outage is forgotten in the wrong direction",
       "50 down\n60 up a 1 0\n170 up a 2 0\n", 70},
  };
  for (const InForceCase& one : cases) {
    EXPECT_EQ(InForceMs(ReadNodeLog(one.log), {100, 2}).value_or(-1),
              one.expected_ms)
        << one.failure;
  }
}

// Guards against a restarted node being taken for a revert, and against a
// revert being hidden by a gap.
TEST(NodeLog, CountsRevertsWithinOneProcessOnly) {
  EXPECT_EQ(CountReverts(ReadNodeLog("1 up a 5 0\n2 up b 4 0\n3 up b 5 0\n")),
            0);
  EXPECT_EQ(CountReverts(ReadNodeLog("1 up a 5 0\n2 down\n3 up a 4 0\n")), 1);
}

// Guards against counters of a new process being subtracted from the old one's.
TEST(NodeLog, PeerBytesSkipRestarts) {
  EXPECT_EQ(PeerBytesPerSecond(ReadNodeLog(
                "0 up a 1 1000\n1000 up a 1 3000\n1500 up b 1 0\n2500 up b 1 "
                "4000\n")),
            3000);
}

struct LateWorkCase {
  const char* failure;
  const char* log;
  int64_t expected_ms;
};

TEST(EndpointLog, LateNewWorkTable) {
  const std::vector<LateWorkCase> cases = {
      {"work before a node was told counts",
       "0 live 1 1\n10 leaving 2 2\n20 leaving 2 3\n30 leaving 3 3\n", 0},
      {"late work is missed",
       "0 leaving 2 2\n30 leaving 3 3\n80 leaving 3 4\n90 leaving 3 4\n", 50},
      {"no news passes as no work", "0 leaving 2 2\n30 leaving 2 3\n", -1},
  };
  for (const LateWorkCase& one : cases) {
    EXPECT_EQ(LateNewWorkMs(ReadEndpointLog(one.log)), one.expected_ms)
        << one.failure;
  }
}

// Guards against a node that never shows a revision improving the result.
TEST(FleetLine, CountsNodesThatNeverShowARevision) {
  FleetRun run;
  run.name = "n";
  run.nodes["a"] = ReadNodeLog("0 up a 1 0\n120 up a 2 0\n1100 up a 2 0\n");
  run.nodes["b"] = ReadNodeLog("0 up b 1 0\n1100 up b 1 0\n");
  run.publications = {{100, 2}};
  run.elapsed_ms = 2000;
  run.store_calls = 10;
  run.load.duplicates = 0;
  run.load.false_not_run = 0;
  EXPECT_EQ(FleetLine(run),
            "RESULT name=n seed=0 in_force_ms_median=1000 in_force_ms_max=1000 "
            "reverts=0 duplicates=0 false_not_run=0 requests_cut=0 "
            "late_new_work_ms=-1 store_calls_per_s=5.0 "
            "peer_bytes_per_s_per_node=0");
  EXPECT_NE(FleetTable(run).find("NEVER on b"), std::string::npos);
}

}  // namespace
}  // namespace peridotmill::experiment
