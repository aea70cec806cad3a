#include "standins/peridotmill-standin/logic/engine_scheduler.h"

#include <gtest/gtest.h>

#include <map>

#include "standins/peridotmill-standin/logic/prompt.h"

namespace peridotmill::standin {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

EngineSettings Settings() {
  EngineSettings settings;
  settings.max_running = 2;
  settings.max_waiting = 2;
  settings.step_base = milliseconds(10);
  settings.step_per_sequence = milliseconds(1);
  settings.prefill_per_token = microseconds(100);
  return settings;
}

EngineRequest Request(uint64_t number, int32_t length, int32_t priority = 1) {
  EngineRequest request;
  request.number = number;
  request.output_seed = 7;
  request.length = length;
  request.priority = priority;
  return request;
}

// Advances in steps of 1 ms and returns what each request produced.
std::map<uint64_t, std::string> RunFor(EngineScheduler& engine,
                                       TimePoint from,
                                       milliseconds duration) {
  std::map<uint64_t, std::string> texts;
  for (milliseconds at(0); at <= duration; at += milliseconds(1)) {
    for (const EngineOutput& output : Advance(engine, from + at)) {
      texts[output.number] += output.text;
    }
  }
  return texts;
}

// Guards against a step that does not slow with the number of sequences.
TEST(EngineSchedulerTest, StepTimeGrowsWithTheBatch) {
  for (const uint64_t batch : {1, 2}) {
    EngineScheduler engine = MakeScheduler(Settings());
    for (uint64_t i = 0; i < batch; ++i) {
      ASSERT_TRUE(Submit(engine, Request(i, 5)));
    }
    Advance(engine, kStart);
    EXPECT_EQ(*engine.step_end - kStart, milliseconds(10 + batch));
  }
}

// Guards against a resumed stream that loses, repeats or changes tokens.
TEST(EngineSchedulerTest, ResumedOutputContinuesTheSameTokens) {
  EngineScheduler first = MakeScheduler(Settings());
  Submit(first, Request(1, 6));
  const std::string whole = RunFor(first, kStart, milliseconds(100))[1];
  EngineScheduler second = MakeScheduler(Settings());
  EngineRequest rest = Request(9, 6);
  rest.resume_from = 2;
  Submit(second, rest);
  const std::string tail = RunFor(second, kStart, milliseconds(100))[9];
  EXPECT_EQ(OutputToken(7, 0) + OutputToken(7, 1) + tail, whole);
}

// Guards against a waiting queue that ignores priority or arrival order.
TEST(EngineSchedulerTest, WaitingRequestsStartByPriorityThenArrival) {
  EngineSettings settings = Settings();
  settings.max_running = 1;
  settings.max_waiting = 4;
  EngineScheduler engine = MakeScheduler(settings);
  Submit(engine, Request(1, 1, 1));
  Advance(engine, kStart);
  for (const auto& [number, priority] :
       {std::pair(2, 2), std::pair(3, 1), std::pair(4, 0), std::pair(5, 1)}) {
    Submit(engine, Request(static_cast<uint64_t>(number), 1, priority));
  }
  std::vector<uint64_t> order;
  for (const EngineOutput& output :
       Advance(engine, kStart + std::chrono::seconds(1))) {
    if (output.kind == EngineOutput::Kind::kStarted) {
      order.push_back(output.number);
    }
  }
  EXPECT_EQ(order, (std::vector<uint64_t>{4, 3, 5, 2}));
}

// Guards against an unbounded queue and against a refusal of what would fit.
TEST(EngineSchedulerTest, FullQueueRefuses) {
  EngineScheduler engine = MakeScheduler(Settings());
  for (uint64_t i = 0; i < 4; ++i) {
    EXPECT_TRUE(Submit(engine, Request(i, 50)));
    Advance(engine, kStart);
  }
  EXPECT_FALSE(Submit(engine, Request(4, 50)));
}

// Guards against a cancelled request that keeps its place or its output.
TEST(EngineSchedulerTest, CancelFreesThePlace) {
  EngineScheduler engine = MakeScheduler(Settings());
  for (uint64_t i = 1; i <= 3; ++i) {
    Submit(engine, Request(i, 3));
  }
  Advance(engine, kStart);
  EXPECT_TRUE(Cancel(engine, 1));
  EXPECT_FALSE(Cancel(engine, 1));
  const auto texts = RunFor(engine, kStart, milliseconds(100));
  EXPECT_FALSE(texts.contains(1));
  EXPECT_TRUE(texts.contains(3));
}

// Guards against a prefix cache that has no effect on the first token.
TEST(EngineSchedulerTest, CachedPrefixShortensPrefill) {
  EngineScheduler engine = MakeScheduler(Settings());
  const std::string prompt(640, 'p');
  EngineRequest request = Request(1, 1);
  request.prefix_hashes = PrefixHashes(prompt);
  request.prompt_tokens = TokenCountOf(prompt);
  Submit(engine, request);
  Advance(engine, kStart);
  EXPECT_EQ(*engine.step_end - kStart, milliseconds(11 + 16));
  const TimePoint later = kStart + std::chrono::seconds(1);
  Advance(engine, later);
  request.number = 2;
  Submit(engine, request);
  Advance(engine, later);
  EXPECT_EQ(*engine.step_end - later, milliseconds(11));
}

TEST(EngineSchedulerTest, SlowFactorStretchesSteps) {
  EngineScheduler engine = MakeScheduler(Settings());
  engine.slow_factor = 3;
  Submit(engine, Request(1, 2));
  Advance(engine, kStart);
  EXPECT_EQ(*engine.step_end - kStart, milliseconds(33));
}

// Guards against a cache that grows past its bound or evicts recent blocks.
TEST(PrefixCacheTest, EvictsTheLeastRecentlyUsedBlock) {
  PrefixCache cache;
  cache.capacity = 2;
  UsePrefix(cache, {1}, kStart);
  UsePrefix(cache, {2}, kStart);
  UsePrefix(cache, {1}, kStart);
  UsePrefix(cache, {3}, kStart);
  EXPECT_EQ(cache.blocks.size(), 2u);
  EXPECT_EQ(UsePrefix(cache, {1}, kStart), 1u);
  EXPECT_FALSE(cache.blocks.contains(2));
}

// Guards against events that come early, and against gaps that do not show.
TEST(PrefixCacheTest, EventsAreLateAndHaveGaps) {
  PrefixCache cache;
  for (uint64_t hash = 1; hash <= 200; ++hash) {
    UsePrefix(cache, {hash}, kStart);
  }
  const Duration lag = milliseconds(500);
  EXPECT_TRUE(EventsSince(cache, 0, lag, 0, 1, kStart).empty());
  const TimePoint later = kStart + lag;
  EXPECT_EQ(EventsSince(cache, 50, lag, 0, 1, later).size(), 150u);
  const auto lossy = EventsSince(cache, 0, lag, 0.2, 1, later);
  EXPECT_LT(lossy.size(), 200u);
  EXPECT_GT(lossy.size(), 100u);
  EXPECT_EQ(EventsSince(cache, 0, lag, 0.2, 1, later).size(), lossy.size());
}

}  // namespace
}  // namespace peridotmill::standin
