#include "peridotmill_gateway/estimates/first_event_times.h"

#include <gtest/gtest.h>

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

// Guards against a reserve that suits one deployment's engines only.
TEST(FirstEventTimesTest, FollowsTheObservedTimesOfEachRoute) {
  FirstEventTimes times;
  const Duration prior = PredictFirstEventTime(times, "short");
  EXPECT_GT(prior, 200ms);
  EXPECT_LT(prior, 500ms);
  for (int i = 0; i < 100; ++i) {
    RecordFirstEventTime(times, "short", i % 10 == 0 ? 120ms : 60ms);
    RecordFirstEventTime(times, "long", 700ms);
  }
  EXPECT_GE(PredictFirstEventTime(times, "short"), 57ms);
  EXPECT_LT(PredictFirstEventTime(times, "short"), 140ms);
  EXPECT_NEAR(PredictFirstEventTime(times, "long") / 1ms, 700, 70);
  EXPECT_EQ(PredictFirstEventTime(times, "other"), prior);
}

// Guards against a reserve that stays large after engines were slow.
TEST(FirstEventTimesTest, ForgetsOldTimes) {
  FirstEventTimes times;
  for (int i = 0; i < 100; ++i) {
    RecordFirstEventTime(times, "a", 900ms);
  }
  for (int i = 0; i < 300; ++i) {
    RecordFirstEventTime(times, "a", 60ms);
  }
  EXPECT_LT(PredictFirstEventTime(times, "a"), 100ms);
}

// Guards against memory that grows with the number of routes ever seen.
TEST(FirstEventTimesTest, KeepsABoundedNumberOfRoutes) {
  FirstEventTimes times;
  for (size_t i = 0; i < 3 * kMaxFirstEventRoutes; ++i) {
    RecordFirstEventTime(times, "route" + std::to_string(i), 60ms);
  }
  EXPECT_LE(times.routes.size(), kMaxFirstEventRoutes);
}

}  // namespace
}  // namespace peridotmill
