#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/pace/endpoint_pace.h"
#include "peridotmill_gateway/pace/engine_pace.h"
#include "peridotmill_gateway/pace/load_report.h"
#include "peridotmill_gateway/placement/endpoint_placement.h"
#include "peridotmill_gateway/placement/prompt_placement.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"
#include "peridotmill_gateway/tests/recording_events.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

const TimePoint kNow = TimePoint(1h);
constexpr double kPromptTokens = 4'000;
constexpr int64_t kMemoryTokens = 550'000;

// Guards against steering by a figure that has changed since it was stated, and
// against figures that make an endpoint look free or dead.
TEST(EndpointPaceTest, StatedPaceCountsByItsAge) {
  EndpointPace pace;
  EXPECT_EQ(EstimateStatedPace(pace, kNow), 1);
  RecordStatedPace(pace, 250, kNow);
  EXPECT_EQ(EstimateStatedPace(pace, kNow), 2.5);
  EXPECT_NEAR(EstimateStatedPace(pace, kNow + 300ms), 1.75, 0.01);
  EXPECT_NEAR(EstimateStatedPace(pace, kNow + 3s), 1, 0.01);
  RecordStatedPace(pace, 1, kNow);
  EXPECT_NEAR(EstimateStatedPace(pace, kNow), 0.1, 1e-9);
  RecordStatedPace(pace, 1'000'000, kNow);
  EXPECT_NEAR(EstimateStatedPace(pace, kNow), 10, 1e-9);
}

// Guards against a change for endpoints that state no pace, and against counts
// of running requests that make all nodes avoid the same endpoints.
TEST(LoadReportTest, CountsAreUsedOnlyWithoutAPace) {
  Endpoint endpoint;
  endpoint.registration.slots = 8;
  RecordReportedLoad(endpoint, {.running = 3, .waiting = 1, .slots = 8}, kNow);
  EXPECT_EQ(EstimateLoad(endpoint, kNow), 0.5);
  EXPECT_FALSE(endpoint.pace.stated_at);
  Endpoint uneven;
  uneven.registration.slots = 8;
  RecordReportedLoad(
      uneven, {.running = 3, .waiting = 1, .slots = 8, .pace_percent = 200},
      kNow);
  EXPECT_EQ(EstimateLoad(uneven, kNow), 0);
  BeginCall(uneven, kNow);
  EXPECT_EQ(EstimateLoad(uneven, kNow), 0.25);
}

// Guards against an engine that is called slow for one slow response, one that
// is never learned to be slow, and one that is slow for ever.
TEST(EnginePaceTest, IsLearnedAndForgotten) {
  EnginePace slow;
  EnginePace usual_engine;
  UsualPace usual;
  TimePoint now = kNow;
  const Duration nominal = NominalResponseTime(kPromptTokens);
  for (int i = 0; i < 8; ++i) {
    now += 300ms;
    for (int j = 0; j < 5; ++j) {
      RecordResponseTime(usual_engine, usual, kPromptTokens, nominal, now);
    }
    RecordResponseTime(slow, usual, kPromptTokens, nominal * 5 / 2, now);
    if (i == 0) {
      EXPECT_LT(EstimateEnginePace(slow, now), 1.7);
    }
  }
  EXPECT_GT(EstimateEnginePace(slow, now), 1.7);
  // The pool's average is (5 * 1 + 2.5) / 6.
  EXPECT_NEAR(EstimateEnginePace(usual_engine, now), 1 / 1.25, 0.1);
  EXPECT_NEAR(EstimateEnginePace(slow, now + 1min), 1, 0.05);
  for (int i = 0; i < 12; ++i) {
    now += 300ms;
    RecordResponseTime(slow, usual, kPromptTokens, nominal, now);
  }
  EXPECT_LT(EstimateEnginePace(slow, now), 1.1);
}

// Guards against taking the refusals of a full or dead engine for fast
// responses, which would attract all prompts.
TEST(EnginePaceTest, EndsWithoutResponseAreIgnored) {
  EnginePace engine;
  UsualPace usual;
  for (int i = 0; i < 100; ++i) {
    RecordResponseTime(engine, usual, kPromptTokens, 3ms, kNow);
  }
  EXPECT_EQ(EstimateEnginePace(engine, kNow), 1);
  EXPECT_EQ(usual.ratio, 1);
}

class PaceTest : public testing::Test {
 protected:
  PaceTest() {
    for (int i = 0; i < 6; ++i) {
      registry_.Put(
          MakeRegistration("e" + std::to_string(i), "engines", "valley"));
    }
  }

  const std::vector<EndpointPtr>& Engines() {
    return registry_.Serving(PoolId("engines"));
  }

  void StatePace(int percent) {
    for (const EndpointPtr& engine : Engines()) {
      RecordStatedPace(engine->pace, percent, kNow);
    }
  }

  struct Outcome {
    double mean_ms = 0;
    std::map<EndpointId, int> prompts;
  };

  // Plays a minute of prompts at 36 a second on six engines, of which e0 and e1
  // take 2.5 times as long as the others.
  Outcome PlayPrompts() {
    PromptPlacements placements;
    Random random(7);
    std::map<EndpointId, TimePoint> free_at;
    using Response = std::pair<TimePoint, int>;
    std::priority_queue<Response, std::vector<Response>, std::greater<>> open;
    Outcome outcome;
    TimePoint now = kNow;
    constexpr int kPrompts = 36 * 60;
    for (int i = 0; i < kPrompts; ++i) {
      now += FromMilliseconds(2 * random.Unit() * 1000 / 36);
      while (!open.empty() && open.top().first <= now) {
        RecordPromptResponse(placements, RequestName(open.top().second),
                             events_, open.top().first);
        open.pop();
      }
      const EndpointPtr engine =
          PlacePrompt(placements, Engines(), RequestName(i),
                      {.pool = PoolId("engines"),
                       .shared = {},
                       .tokens = static_cast<int64_t>(kPromptTokens)},
                      PromptData(), kMemoryTokens, now);
      const EndpointId id = engine->registration.id;
      const double pace = id.value() < "e2" ? 2.5 : 1;
      TimePoint& free = free_at[id];
      free = std::max(free, now) +
             FromMilliseconds(
                 pace * ToMilliseconds(NominalResponseTime(kPromptTokens)));
      open.emplace(free, i);
      outcome.mean_ms += ToMilliseconds(free - now) / kPrompts;
      ++outcome.prompts[id];
    }
    return outcome;
  }

  static RequestId RequestName(int i) {
    return RequestId("q" + std::to_string(i));
  }

  EndpointRegistry registry_;
  RecordingEvents events_;
};

// Guards against callers who wait at slow engines while faster ones are free,
// against slow engines that get nothing, and against a change where no engine
// states a pace.
TEST_F(PaceTest, SlowEnginesGetFewerPromptsAndCallersWaitLess) {
  const Outcome even = PlayPrompts();
  StatePace(100);
  const Outcome paced = PlayPrompts();
  EXPECT_LT(paced.mean_ms, 0.8 * even.mean_ms);
  const EndpointId slow("e0");
  const EndpointId fast("e5");
  EXPECT_LT(paced.prompts.at(slow) * 2, paced.prompts.at(fast));
  EXPECT_GT(paced.prompts.at(slow) * 10, paced.prompts.at(fast));
  EXPECT_TRUE(events_.Has("engine_slow engine=e0"));
}

// Guards against 72 nodes that all choose the endpoint which a fresh report
// praises, or avoid those which it blames.
TEST_F(PaceTest, NodesThatReadOneFreshReportSpread) {
  for (const EndpointPtr& endpoint : Engines()) {
    const bool is_praised = endpoint->registration.id == EndpointId("e0");
    RecordReportedLoad(*endpoint,
                       {.running = is_praised ? 0 : 6,
                        .waiting = is_praised ? 0 : 4,
                        .slots = 6,
                        .pace_percent = is_praised ? 40 : 250},
                       kNow);
  }
  std::map<EndpointId, int> chosen;
  for (uint64_t node = 0; node < 72; ++node) {
    Random random(node);
    ++chosen[ChooseEndpoint(Engines(), PlacementRequest(), 10s, kNow, random)
                 ->registration.id];
  }
  ASSERT_EQ(chosen.size(), 6u);
  for (const auto& [id, count] : chosen) {
    EXPECT_GE(count, 4) << id.value();
    EXPECT_LE(count, 24) << id.value();
  }
}

}  // namespace
}  // namespace peridotmill
