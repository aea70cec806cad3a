#include "peridotmill_gateway/admission/admission_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart = TimePoint(1h);
const PoolId kPool("rank");
// Throughput of 15 endpoints with calls of 12 items in 282 ms.
constexpr double kItemsPerSecond = 640;

PoolThroughputs MakeThroughputs(double items_per_second = kItemsPerSecond) {
  return {{kPool, {.items_per_second = items_per_second}}};
}

// Makes a request with six items whose stage ends 560 ms after its start.
WaitingRequest MakeRequest(TimePoint submitted, Duration on_time = 1300ms) {
  WaitingRequest request;
  request.submitted = submitted;
  request.latest_on_time_start = submitted + on_time;
  request.latest_useful_start = submitted + 7s;
  request.work = {{.pool = kPool, .items = 6, .start = 280ms, .end = 560ms}};
  return request;
}

// Adds waiting requests to the queue.
void AddWaiting(AdmissionQueue& queue, int count, TimePoint submitted) {
  for (int i = 0; i < count; ++i) {
    const AdmissionId id = queue.waiting.size() + queue.started.size() + 1000;
    queue.waiting.emplace(id, MakeRequest(submitted));
  }
}

// Guards against stages that fill with waiting work which holds result memory:
// more requests started than the pool finishes within the time of the stage.
TEST(AdmissionQueueTest, StartsOnlyWhatThePoolFinishesWithinItsHorizon) {
  AdmissionQueue queue;
  AddWaiting(queue, 400, kStart);
  const auto first = AdmitRequests(queue, MakeThroughputs(), kStart);
  EXPECT_GT(first.size(), kItemsPerSecond * 0.56 / 6 * 0.9);
  EXPECT_LT(first.size(), kItemsPerSecond * (0.56 * 1.5) / 6);
  EXPECT_TRUE(AdmitRequests(queue, MakeThroughputs(), kStart).empty());
  FinishWork(queue, first[0], kPool, 6);
  EXPECT_EQ(AdmitRequests(queue, MakeThroughputs(), kStart).size(), 1u);
  RemoveRequest(queue, first[1]);
  EXPECT_EQ(AdmitRequests(queue, MakeThroughputs(), kStart).size(), 1u);
}

// Guards against starting work whose results exceed the result memory.
TEST(AdmissionQueueTest, LimitsStartedRequestsByResultMemory) {
  AdmissionQueue queue;
  for (AdmissionId id = 1; id <= 100; ++id) {
    WaitingRequest request = MakeRequest(kStart);
    request.work[0].result_bytes = 360'000;
    queue.waiting.emplace(id, request);
  }
  const PoolThroughputs throughputs = {
      {kPool, {.items_per_second = 1e6, .result_bytes_per_second = 10e6}}};
  const size_t started = AdmitRequests(queue, throughputs, kStart).size();
  EXPECT_GE(started, 16u);
  EXPECT_LE(started, 25u);
}

// Guards against an idle pool that stays idle because the only request is
// larger than the horizon allows.
TEST(AdmissionQueueTest, IdlePoolAdmitsARequestOfAnySize) {
  AdmissionQueue queue;
  WaitingRequest request = MakeRequest(kStart);
  request.work[0].items = 10'000;
  queue.waiting.emplace(1, request);
  EXPECT_EQ(AdmitRequests(queue, MakeThroughputs(), kStart).size(), 1u);
}

// Guards against requests that wait for a full pool which they do not use.
TEST(AdmissionQueueTest, FullPoolDoesNotDelayRequestsOfOtherPools) {
  AdmissionQueue queue;
  AddWaiting(queue, 400, kStart);
  WaitingRequest other = MakeRequest(kStart + 1ms);
  other.work[0].pool = PoolId("scan");
  queue.waiting.emplace(1, other);
  PoolThroughputs throughputs = MakeThroughputs();
  throughputs[PoolId("scan")] = {.items_per_second = 100};
  const auto started = AdmitRequests(queue, throughputs, kStart + 1ms);
  EXPECT_EQ(std::count(started.begin(), started.end(), AdmissionId{1}), 1);
}

// Guards against late requests that delay requests which can be on time.
TEST(AdmissionQueueTest, LateRequestsUseTheRemainingCapacity) {
  AdmissionQueue queue;
  AddWaiting(queue, 200, kStart);
  const TimePoint now = kStart + 2s;
  queue.waiting.emplace(1, MakeRequest(now));
  const auto started = AdmitRequests(queue, MakeThroughputs(), now);
  ASSERT_GT(started.size(), 1u);
  EXPECT_EQ(started[0], 1u);
}

// Guards against urgent requests that wait behind less urgent ones.
TEST(AdmissionQueueTest, UrgentRequestsStartFirst) {
  AdmissionQueue queue;
  WaitingRequest chat = MakeRequest(kStart);
  chat.priority = 2;
  queue.waiting.emplace(1, chat);
  queue.waiting.emplace(2, MakeRequest(kStart + 100ms));
  const auto started = AdmitRequests(queue, MakeThroughputs(), kStart + 100ms);
  EXPECT_EQ(started, (std::vector<AdmissionId>{2, 1}));
}

// Guards against callers that wait for a response which is predicted to be
// late.
TEST(AdmissionQueueTest, TellsARefusedCallerWhenTheQueueHasDrained) {
  AdmissionQueue queue;
  const WaitingRequest request = MakeRequest(kStart);
  EXPECT_FALSE(DecideRefusal(queue, MakeThroughputs(), request, kStart));
  AddWaiting(queue, 400, kStart);
  AdmitRequests(queue, MakeThroughputs(), kStart);
  const auto retry_after =
      DecideRefusal(queue, MakeThroughputs(), request, kStart);
  ASSERT_TRUE(retry_after);
  // The wait is for 2,400 items less those that start at once.
  EXPECT_GT(*retry_after, 2s);
  EXPECT_LT(*retry_after, 4500ms);
}

// Guards against refusing a caller that could still be served, and against
// letting one wait that cannot.
TEST(AdmissionQueueTest, RefusesOnlyRequestsThatCannotBeServed) {
  AdmissionQueue queue;
  AddWaiting(queue, 400, kStart);
  AdmitRequests(queue, MakeThroughputs(), kStart);
  WaitingRequest request = MakeRequest(kStart, -1s);
  request.latest_useful_start = kStart + 9s;
  EXPECT_FALSE(DecideRefusal(queue, MakeThroughputs(), request, kStart));
  request.latest_useful_start = kStart + 2s;
  EXPECT_TRUE(DecideRefusal(queue, MakeThroughputs(), request, kStart));
}

// Guards against waiting requests whose callers have given up.
TEST(AdmissionQueueTest, RemovesRequestsWhoseCallersHaveGivenUp) {
  AdmissionQueue queue;
  AddWaiting(queue, 2, kStart);
  EXPECT_TRUE(TakeExpired(queue, kStart + 7s).empty());
  EXPECT_EQ(TakeExpired(queue, kStart + 7001ms).size(), 2u);
  EXPECT_TRUE(queue.waiting.empty());
}

// Guards against an order that finishes every request slightly late, and
// against refusals that leave the pool idle. Simulates a burst of 2.5 times the
// pool's capacity for 6 s with callers that retry once: the responses on time
// must reach most of the pool's capacity, and the burst must drain afterwards.
TEST(AdmissionQueueTest, ServesABurstAtThePoolsCapacity) {
  struct Running {
    AdmissionId id;
    double items_ahead;
  };
  constexpr Duration kTick = 10ms;
  constexpr int kBurstTicks = 600;
  constexpr int kTicks = 1500;
  AdmissionQueue queue;
  std::deque<AdmissionId> pool;
  std::multimap<TimePoint, WaitingRequest> returning;
  double item_budget = 0;
  int offered = 0;
  int on_time = 0;
  int late = 0;
  AdmissionId next_id = 1;
  std::map<AdmissionId, TimePoint> due;
  const auto arrive = [&](WaitingRequest request, TimePoint now,
                          bool is_returning) {
    const auto retry_after =
        DecideRefusal(queue, MakeThroughputs(), request, now);
    if (!retry_after) {
      due[next_id] = request.latest_on_time_start + 560ms;
      queue.waiting.emplace(next_id++, std::move(request));
      return;
    }
    if (!is_returning) {
      const TimePoint retry_at =
          now + std::clamp<Duration>(*retry_after, 250ms, 5s);
      request.submitted = retry_at;
      request.latest_useful_start = retry_at + 6s;
      returning.emplace(retry_at, std::move(request));
    }
  };
  double arrivals = 0;
  for (int tick = 0; tick < kTicks; ++tick) {
    const TimePoint now = kStart + tick * kTick;
    arrivals += (tick < kBurstTicks ? 2.5 : 0.5) * kItemsPerSecond / 6 / 100;
    for (; arrivals >= 1; arrivals -= 1) {
      ++offered;
      arrive(MakeRequest(now), now, /*is_returning=*/false);
    }
    while (!returning.empty() && returning.begin()->first <= now) {
      WaitingRequest request = returning.begin()->second;
      returning.erase(returning.begin());
      arrive(std::move(request), now, /*is_returning=*/true);
    }
    TakeExpired(queue, now);
    for (const AdmissionId id : AdmitRequests(queue, MakeThroughputs(), now)) {
      pool.push_back(id);
    }
    // The pool works in order and cannot accumulate unused capacity.
    item_budget =
        std::min(item_budget + kItemsPerSecond / 100, kItemsPerSecond / 10);
    while (!pool.empty() && item_budget >= 6) {
      item_budget -= 6;
      const AdmissionId id = pool.front();
      pool.pop_front();
      ++(now <= due.at(id) ? on_time : late);
      RemoveRequest(queue, id);
    }
  }
  // 6 s of the burst and 9 s at half load.
  const double possible_on_time = kItemsPerSecond / 6 * (6 + 9 * 0.5);
  EXPECT_GT(on_time, 0.8 * possible_on_time);
  EXPECT_GT(on_time + late,
            0.9 * std::min<double>(offered, kItemsPerSecond / 6 * 15));
}

}  // namespace
}  // namespace peridotmill
