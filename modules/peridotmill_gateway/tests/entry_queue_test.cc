#include "peridotmill_gateway/admission/entry_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart = TimePoint(1h);
const PoolId kPool("rank");
// Items a second: 15 endpoints, calls of 12 items in 282 ms.
constexpr double kRate = 640;

PoolRates MakeRates(double items = kRate) {
  return {{kPool, {.items = items}}};
}

// A request with six items whose stage ends 560 ms after its start.
WaitingEntry MakeEntry(TimePoint submitted, Duration on_time = 1300ms) {
  WaitingEntry entry;
  entry.submitted = submitted;
  entry.start_on_time = submitted + on_time;
  entry.start_of_use = submitted + 7s;
  entry.work = {{.pool = kPool, .items = 6, .end = 560ms}};
  return entry;
}

// Fills the queue with waiting requests.
void AddWaiting(EntryQueue& queue, int count, TimePoint submitted) {
  for (int i = 0; i < count; ++i) {
    const EntryId id = queue.waiting.size() + queue.started.size() + 1000;
    queue.waiting.emplace(id, MakeEntry(submitted));
  }
}

// Guards against stages that fill with work which holds room and waits: no more
// starts than the pool does within the time that the stage takes.
TEST(EntryQueueTest, StartsWhatThePoolCanTake) {
  EntryQueue queue;
  AddWaiting(queue, 400, kStart);
  const auto first = TakeStartable(queue, MakeRates(), kStart);
  EXPECT_GT(first.size(), kRate * 0.56 / 6 * 0.9);
  EXPECT_LT(first.size(), kRate * (0.56 * 1.5) / 6);
  EXPECT_TRUE(TakeStartable(queue, MakeRates(), kStart).empty());
  FinishWork(queue, first[0], kPool, 6);
  EXPECT_EQ(TakeStartable(queue, MakeRates(), kStart).size(), 1u);
  RemoveEntry(queue, first[1]);
  EXPECT_EQ(TakeStartable(queue, MakeRates(), kStart).size(), 1u);
}

// Guards against work that is started although its results find no room.
TEST(EntryQueueTest, CountsTheRoomOfResults) {
  EntryQueue queue;
  for (EntryId id = 1; id <= 100; ++id) {
    WaitingEntry entry = MakeEntry(kStart);
    entry.work[0].result_bytes = 360'000;
    queue.waiting.emplace(id, entry);
  }
  const PoolRates rates = {{kPool, {.items = 1e6, .result_bytes = 10e6}}};
  const size_t started = TakeStartable(queue, rates, kStart).size();
  EXPECT_GE(started, 16u);
  EXPECT_LE(started, 25u);
}

// Guards against an idle pool that takes nothing because a request is large.
TEST(EntryQueueTest, AnIdlePoolTakesAnyRequest) {
  EntryQueue queue;
  WaitingEntry entry = MakeEntry(kStart);
  entry.work[0].items = 10'000;
  queue.waiting.emplace(1, entry);
  EXPECT_EQ(TakeStartable(queue, MakeRates(), kStart).size(), 1u);
}

// Guards against requests that only use another pool waiting for a full one.
TEST(EntryQueueTest, AFullPoolHoldsUpNobodyElse) {
  EntryQueue queue;
  AddWaiting(queue, 400, kStart);
  WaitingEntry other = MakeEntry(kStart + 1ms);
  other.work[0].pool = PoolId("scan");
  queue.waiting.emplace(1, other);
  PoolRates rates = MakeRates();
  rates[PoolId("scan")] = {.items = 100};
  const auto started = TakeStartable(queue, rates, kStart + 1ms);
  EXPECT_EQ(std::count(started.begin(), started.end(), EntryId{1}), 1);
}

// Guards against late requests that delay those which can still be on time.
TEST(EntryQueueTest, LateRequestsUseWhatOthersLeave) {
  EntryQueue queue;
  AddWaiting(queue, 200, kStart);
  const TimePoint now = kStart + 2s;
  queue.waiting.emplace(1, MakeEntry(now));
  const auto started = TakeStartable(queue, MakeRates(), now);
  ASSERT_GT(started.size(), 1u);
  EXPECT_EQ(started[0], 1u);
}

// Guards against urgent requests waiting behind others.
TEST(EntryQueueTest, UrgentRequestsGoFirst) {
  EntryQueue queue;
  WaitingEntry chat = MakeEntry(kStart);
  chat.priority = 2;
  queue.waiting.emplace(1, chat);
  queue.waiting.emplace(2, MakeEntry(kStart + 100ms));
  const auto started = TakeStartable(queue, MakeRates(), kStart + 100ms);
  EXPECT_EQ(started, (std::vector<EntryId>{2, 1}));
}

// Guards against waiting for an answer that is known to be late.
TEST(EntryQueueTest, RefusesAFirstCallThatIsPredictedToBeLate) {
  EntryQueue queue;
  const WaitingEntry entry = MakeEntry(kStart);
  EXPECT_FALSE(DecideRefusal(queue, MakeRates(), entry, kStart));
  AddWaiting(queue, 400, kStart);
  TakeStartable(queue, MakeRates(), kStart);
  const auto retry_after = DecideRefusal(queue, MakeRates(), entry, kStart);
  ASSERT_TRUE(retry_after);
  // 2,400 items less what starts at once.
  EXPECT_GT(*retry_after, 2s);
  EXPECT_LT(*retry_after, 4500ms);
}

// Guards against refusing a caller again who came back as told.
TEST(EntryQueueTest, AcceptsAReturningCallerWhoCanStillBeServed) {
  EntryQueue queue;
  AddWaiting(queue, 400, kStart);
  TakeStartable(queue, MakeRates(), kStart);
  WaitingEntry entry = MakeEntry(kStart, -1s);
  entry.is_returning = true;
  entry.start_of_use = kStart + 9s;
  EXPECT_FALSE(DecideRefusal(queue, MakeRates(), entry, kStart));
  entry.start_of_use = kStart + 2s;
  EXPECT_TRUE(DecideRefusal(queue, MakeRates(), entry, kStart));
}

// Guards against requests that wait for callers who have left.
TEST(EntryQueueTest, ExpiresWhatIsOfNoMoreUse) {
  EntryQueue queue;
  AddWaiting(queue, 2, kStart);
  EXPECT_TRUE(TakeExpired(queue, kStart + 7s).empty());
  EXPECT_EQ(TakeExpired(queue, kStart + 7001ms).size(), 2u);
  EXPECT_TRUE(queue.waiting.empty());
}

// Plays a burst of 2.5 times the pool's capacity for 6 s with callers that come
// back once. Guards against the order that serves every request just too late,
// and against refusals that leave the pool idle: the answers on time must come
// to most of what the pool can do, and the burst must drain afterwards.
TEST(EntryQueueTest, ServesABurstAtThePoolsCapacity) {
  struct Running {
    EntryId id;
    double items_ahead;
  };
  constexpr Duration kTick = 10ms;
  constexpr int kBurstTicks = 600;
  constexpr int kTicks = 1500;
  EntryQueue queue;
  std::deque<EntryId> pool;
  std::multimap<TimePoint, WaitingEntry> returning;
  double budget = 0;
  int offered = 0;
  int on_time = 0;
  int late = 0;
  EntryId next = 1;
  std::map<EntryId, TimePoint> due;
  const auto arrive = [&](WaitingEntry entry, TimePoint now) {
    const auto retry_after = DecideRefusal(queue, MakeRates(), entry, now);
    if (!retry_after) {
      due[next] = entry.start_on_time + 560ms;
      queue.waiting.emplace(next++, std::move(entry));
      return;
    }
    if (!entry.is_returning) {
      entry.is_returning = true;
      const TimePoint back =
          now + std::clamp<Duration>(*retry_after, 250ms, 5s);
      entry.submitted = back;
      entry.start_of_use = back + 6s;
      returning.emplace(back, std::move(entry));
    }
  };
  double arrivals = 0;
  for (int tick = 0; tick < kTicks; ++tick) {
    const TimePoint now = kStart + tick * kTick;
    arrivals += (tick < kBurstTicks ? 2.5 : 0.5) * kRate / 6 / 100;
    for (; arrivals >= 1; arrivals -= 1) {
      ++offered;
      arrive(MakeEntry(now), now);
    }
    while (!returning.empty() && returning.begin()->first <= now) {
      WaitingEntry entry = returning.begin()->second;
      returning.erase(returning.begin());
      arrive(std::move(entry), now);
    }
    TakeExpired(queue, now);
    for (const EntryId id : TakeStartable(queue, MakeRates(), now)) {
      pool.push_back(id);
    }
    // The pool works in order and cannot save up capacity.
    budget = std::min(budget + kRate / 100, kRate / 10);
    while (!pool.empty() && budget >= 6) {
      budget -= 6;
      const EntryId id = pool.front();
      pool.pop_front();
      ++(now <= due.at(id) ? on_time : late);
      RemoveEntry(queue, id);
    }
  }
  // 6 s of burst and 9 s at half load.
  const double possible_on_time = kRate / 6 * (6 + 9 * 0.5);
  EXPECT_GT(on_time, 0.8 * possible_on_time);
  EXPECT_GT(on_time + late, 0.9 * std::min<double>(offered, kRate / 6 * 15));
}

}  // namespace
}  // namespace peridotmill
