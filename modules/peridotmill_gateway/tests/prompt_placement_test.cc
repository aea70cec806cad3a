#include "peridotmill_gateway/placement/prompt_placement.h"

#include <gtest/gtest.h>

#include <map>

#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

const TimePoint kNow = TimePoint(1h);
constexpr int64_t kMemoryTokens = 550'000;

class PromptPlacementTest : public testing::Test {
 protected:
  PromptPlacementTest() {
    for (int i = 0; i < 6; ++i) {
      registry_.Put(MakeRegistration("e" + std::to_string(i), "engines",
                                     i % 2 == 0 ? "valley" : "summit"));
    }
  }

  // Makes a prompt of 17,000 tokens, 13,000 of them in a shared prefix with the
  // given hash.
  static PromptDemand MakePrompt(uint64_t hash, int64_t own_tokens = 4'000) {
    return {.pool = PoolId("engines"),
            .shared = {{hash, 13'000}},
            .tokens = 13'000 + own_tokens};
  }

  EndpointPtr Place(const PromptDemand& prompt,
                    TimePoint now = kNow,
                    int64_t data_bytes = 0) {
    last_request_ = RequestId("q" + std::to_string(++placed_count_));
    return PlacePrompt(placements_, registry_.Serving(PoolId("engines")),
                       last_request_, prompt,
                       {FailureDomainId("valley"), data_bytes, EndpointId()},
                       kMemoryTokens, now);
  }

  EndpointRegistry registry_;
  PromptPlacements placements_;
  RequestId last_request_;
  int placed_count_ = 0;
};

// Guards against shared prefixes that every engine prefills again.
TEST_F(PromptPlacementTest, EngineThatCachesThePrefixIsChosenWhileItIsNotBusy) {
  const EndpointPtr holder = Place(MakePrompt(7));
  RemovePrompt(placements_, last_request_);
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(Place(MakePrompt(7), kNow + i * 300ms), holder);
    RemovePrompt(placements_, last_request_);
  }
}

// Guards against a queue of long prompts at the engine that caches a popular
// prefix while other engines are idle.
TEST_F(PromptPlacementTest, PopularPrefixSpreadsWhenItsEngineHasAQueue) {
  std::map<EndpointId, int> counts;
  for (int i = 0; i < 24; ++i) {
    ++counts[Place(MakePrompt(7))->registration.id];
  }
  EXPECT_GE(counts.size(), 3u);
  for (const auto& [engine, count] : counts) {
    EXPECT_LE(count, 12);
  }
}

// Guards against an unresponsive engine that gets every prompt because it
// caches the prefix.
TEST_F(PromptPlacementTest, UnresponsiveEngineGetsNoMorePrompts) {
  const EndpointPtr unresponsive = Place(MakePrompt(7, 0));
  const TimePoint later = kNow + 3s;
  for (int i = 0; i < 10; ++i) {
    EXPECT_NE(Place(MakePrompt(7), later), unresponsive);
  }
}

// Guards against transferring large results between failure domains without
// need.
TEST_F(PromptPlacementTest, LargeResultsStayInTheirFailureDomain) {
  for (uint64_t hash = 1; hash <= 6; ++hash) {
    PromptDemand prompt = MakePrompt(hash);
    prompt.shared[0].tokens = 400;
    EXPECT_EQ(Place(prompt, kNow + hash * 10s, 6'000'000)
                  ->registration.failure_domain,
              FailureDomainId("valley"));
    RemovePrompt(placements_, last_request_);
  }
}

// Guards against prefilling all prefixes again at other engines when another
// node takes over as the coordinator.
TEST_F(PromptPlacementTest, CoordinatorsWithoutStateChooseTheSameEngine) {
  for (uint64_t hash = 1; hash <= 5; ++hash) {
    const EndpointPtr before = Place(MakePrompt(hash));
    placements_ = PromptPlacements();
    EXPECT_EQ(Place(MakePrompt(hash)), before);
    placements_ = PromptPlacements();
  }
}

// Guards against assuming that an engine keeps its KV cache over a restart.
TEST_F(PromptPlacementTest, RestartedEngineHasAnEmptyCache) {
  const EndpointPtr holder = Place(MakePrompt(7));
  RemovePrompt(placements_, last_request_);
  EndpointRegistration restarted = holder->registration;
  restarted.started_at_ms = 5;
  registry_.Put(restarted);
  Place(MakePrompt(8), kNow + 10s);
  RemovePrompt(placements_, last_request_);
  Place(MakePrompt(7), kNow + 10s);
  const auto& placed = placements_.placed.at(last_request_);
  EXPECT_EQ(placed.pending_prefill_tokens, 17'000);
}

// Guards against a prefix index that grows with every prompt.
TEST_F(PromptPlacementTest, EvictsPrefixesBeyondTheEnginesMemory) {
  for (uint64_t hash = 1; hash <= 2'000; ++hash) {
    Place(MakePrompt(hash));
    RemovePrompt(placements_, last_request_);
  }
  for (const auto& [id, engine] : placements_.engines) {
    EXPECT_LE(engine.cached_prefix_tokens, kMemoryTokens / 2);
    EXPECT_LE(engine.prefixes.size(), 22u);
  }
  EXPECT_TRUE(placements_.placed.empty());
}

}  // namespace
}  // namespace peridotmill
