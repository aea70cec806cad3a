#include "peridotmill_http/memory/yielding.h"

#include <gtest/gtest.h>

#include "peridotmill_http/memory/descriptor_limits.h"
#include "peridotmill_http/memory/memory_charge.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kNow = TimePoint() + 100s;

UnfinishedRequest Request(size_t bytes, Duration silent_for) {
  return {.charged_bytes = bytes,
          .received_bytes = 1'000'000,
          .start = kNow - silent_for - 100ms,
          .last_progress = kNow - silent_for};
}

// Guards against refusing more than needed, and requests that progress before
// those that stand still.
TEST(ChooseWhoYieldsTest, TakesTheLongestStalledFirst) {
  const std::vector<UnfinishedRequest> requests = {
      Request(100, 10ms), Request(100, 2s), Request(100, 5s), Request(100, 3s)};
  EXPECT_EQ(ChooseWhoYields(requests, 150, kNow), (std::vector<size_t>{2, 3}));
}

// Guards against refusing requests although that makes no room.
TEST(ChooseWhoYieldsTest, TakesNoneIfTheStalledDoNotHoldEnough) {
  const std::vector<UnfinishedRequest> requests = {Request(100, 2s),
                                                   Request(1000, 10ms)};
  EXPECT_TRUE(ChooseWhoYields(requests, 150, kNow).empty());
}

// Guards against callers that keep their memory by a byte now and then.
TEST(ChooseWhoYieldsTest, TakesATrickleForStalled) {
  const UnfinishedRequest trickle = {.charged_bytes = 4'000'000,
                                     .received_bytes = 2000,
                                     .start = kNow - 20s,
                                     .last_progress = kNow - 10ms};
  EXPECT_TRUE(IsStalled(trickle, kNow));
  EXPECT_FALSE(IsStalled(Request(100, 10ms), kNow));
}

// Guards against closing a connection in use, and an idle one of a caller that
// returns while others never said anything.
TEST(ChooseConnectionToCloseTest, KeepsOpenRequestsAndRanksTheRest) {
  using State = OpenConnection::State;
  std::vector<OpenConnection> connections = {
      {.state = State::kOpenRequest, .since = kNow - 60s},
      {.state = State::kUnfinishedRequest, .since = kNow - 100ms},
      {.state = State::kNew, .since = kNow - 100ms}};
  EXPECT_FALSE(ChooseConnectionToClose(connections, kNow));
  connections.push_back({.state = State::kIdle, .since = kNow - 2s});
  EXPECT_EQ(ChooseConnectionToClose(connections, kNow), 3);
  connections.push_back({.state = State::kIdle, .since = kNow - 9s});
  EXPECT_EQ(ChooseConnectionToClose(connections, kNow), 4);
  connections.push_back({.state = State::kNew, .since = kNow - 2s});
  EXPECT_EQ(ChooseConnectionToClose(connections, kNow), 5);
  connections.push_back({.state = State::kUnfinishedRequest,
                         .is_stalled = true,
                         .since = kNow - 2s});
  EXPECT_EQ(ChooseConnectionToClose(connections, kNow), 6);
}

// Guards against a budget beyond the memory of the process, or one so small
// that it refuses a large request in calm.
TEST(PlanMemoryTest, LeavesRoomForTheProgramAndForALargeRequest) {
  EXPECT_EQ(PlanMemory(0).total_bytes, 0U);
  for (const size_t megabytes : {16, 64, 260, 4000}) {
    const size_t bytes = megabytes * 1'000'000;
    const MemoryLimits limits = PlanMemory(bytes);
    EXPECT_LE(limits.total_bytes, bytes / 4 * 3) << megabytes;
    EXPECT_EQ(MissingMemory(limits, 0, bytes / 8, bytes / 8), 0U) << megabytes;
  }
}

// Guards against callers that take the descriptors of the store and of peers,
// also where a process has few.
TEST(PlanDescriptorsTest, LeavesDescriptorsToTheRest) {
  for (const size_t descriptors : {64, 150, 1024, 1201, 4100}) {
    const DescriptorLimits limits = PlanDescriptors(descriptors);
    EXPECT_LT(limits.max_callers, limits.max_callers_and_calls) << descriptors;
    EXPECT_LE(limits.max_callers_and_calls, descriptors - descriptors / 14);
    EXPECT_GE(limits.max_callers, descriptors / 2 - 1);
  }
}

// Guards against a crowd of large requests that leaves no room for small ones,
// and charges that are not returned.
TEST(MemoryChargeTest, LeavesAShareToSmallRequests) {
  MemoryBudget budget({.total_bytes = 1'000'000, .small_share_bytes = 200'000});
  MemoryCharge small(&budget);
  {
    MemoryCharge large(&budget);
    EXPECT_TRUE(large.TrySet(800'000));
    EXPECT_EQ(large.MissingBytes(900'000), 100'000U);
    EXPECT_FALSE(large.TrySet(900'000));
    EXPECT_TRUE(small.TrySet(1000));
    const MemoryCharge moved = std::move(large);
    EXPECT_EQ(budget.used_bytes(), 801'000U);
  }
  EXPECT_EQ(budget.used_bytes(), 1000U);
}

// Guards against slow readers that take all of the memory, however many they
// are, and against a changed limit where no memory limit is set.
TEST(UnsentResponseLimitTest, SharesWhatIsLeft) {
  EXPECT_EQ(UnsentResponseLimit({}, 0, 65536), 65536U);
  const MemoryLimits limits = PlanMemory(260'000'000);
  EXPECT_GT(UnsentResponseLimit(limits, 0, 65536), 65536U);
  size_t used = 0;
  for (int i = 0; i < 100'000; ++i) {
    used += UnsentResponseLimit(limits, used, 65536);
  }
  EXPECT_LE(used, limits.total_bytes);
}

}  // namespace
}  // namespace peridotmill
