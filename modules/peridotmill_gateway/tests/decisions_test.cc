// Unit tests of endpoint placement, the retry budget, event splitting, the
// active configuration, stage progress and the endpoint registry.
#include <gtest/gtest.h>

#include <ctime>
#include <string>
#include <string_view>

#include "peridotmill_gateway/configuration/active_configuration.h"
#include "peridotmill_gateway/configuration/config_check.h"
#include "peridotmill_gateway/placement/endpoint_placement.h"
#include "peridotmill_gateway/requests/stage_progress.h"
#include "peridotmill_gateway/retries/pool_retry_budget.h"
#include "peridotmill_gateway/streams/event_splitter.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

const TimePoint kNow = TimePoint(1h);

class PlacementTest : public testing::Test {
 protected:
  PlacementTest() {
    for (int i = 0; i < 6; ++i) {
      registry_.Put(MakeRegistration("e" + std::to_string(i), "engines",
                                     i % 2 == 0 ? "valley" : "summit"));
    }
  }
  EndpointPtr Choose(const PlacementRequest& request) {
    return ChooseEndpoint(registry_.Serving(PoolId("engines")), request, 1s,
                          kNow, random_);
  }

  EndpointRegistry registry_;
  Random random_{5};
};

// Guards against prefill of the same prompt prefix on several engines.
TEST_F(PlacementTest, RequestsThatShareAPrefixGoToOneEndpoint) {
  PlacementRequest request;
  request.affinity = 77;
  request.shared_tokens = 13'000;
  const EndpointPtr first_choice = Choose(request);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Choose(request), first_choice);
  }
}

// Guards against overloading the endpoint that has a prompt prefix in its
// cache.
TEST_F(PlacementTest, AvoidsALoadedEndpointDespiteItsCachedPrefix) {
  PlacementRequest request;
  request.affinity = 77;
  request.shared_tokens = 3'000;
  const EndpointPtr holder = Choose(request);
  for (int i = 0; i < 40; ++i) {
    BeginCall(*holder, kNow);
    RemoveUnansweredCall(*holder, kNow);
  }
  EXPECT_NE(Choose(request), holder);
}

// Guards against moving large results to another failure domain without need.
TEST_F(PlacementTest, PrefersTheDomainOfTheData) {
  PlacementRequest request;
  request.data_domain = FailureDomainId("summit");
  request.data_bytes = 6'000'000;
  EXPECT_EQ(Choose(request)->registration.failure_domain,
            FailureDomainId("summit"));
}

// Guards against sending calls to endpoints that fail or do not respond, and
// against choosing none when all of them do so.
TEST_F(PlacementTest, AvoidsEndpointsThatFailOrDoNotRespond) {
  PlacementRequest request;
  request.affinity = 77;
  request.shared_tokens = 13'000;
  const EndpointPtr failing = Choose(request);
  for (int i = 0; i < 3; ++i) {
    BeginCall(*failing, kNow);
    EndCall(*failing, CallOutcome::kFailure, kNow);
  }
  const EndpointPtr silent = Choose(request);
  EXPECT_NE(silent, failing);
  BeginCall(*silent, kNow - 2s);
  EXPECT_NE(Choose(request), silent);
  EXPECT_NE(Choose(request), failing);
  for (const EndpointPtr& endpoint : registry_.Serving(PoolId("engines"))) {
    endpoint->ejected_until = kNow + 1s;
  }
  EXPECT_NE(Choose(request), nullptr);
}

// Guards against more retries in some window than the ratio and the allowance
// permit.
TEST(PoolRetryBudgetTest, StaysWithinRatioAndAllowanceOfAnyWindow) {
  PoolRetryBudget budget({.ratio = 0.2, .window = 10s, .node_allowance = 2});
  const PoolId pool("p");
  std::vector<TimePoint> first_calls;
  std::vector<TimePoint> retries;
  for (int step = 0; step < 4000; ++step) {
    const TimePoint now = kNow + step * 10ms;
    // First calls are made in every other period of 5 seconds.
    if ((step / 500) % 2 == 0) {
      budget.RecordFirstCall(pool, now);
      first_calls.push_back(now);
    }
    if (budget.TryTakeRetries(pool, 1, now)) {
      retries.push_back(now);
    }
  }
  for (TimePoint end = kNow + 10s; end < kNow + 40s; end += 250ms) {
    const auto count_within = [&](const std::vector<TimePoint>& times,
                                  Duration span) {
      return std::count_if(times.begin(), times.end(), [&](TimePoint t) {
        return t > end - span && t <= end;
      });
    };
    // The first calls that permit a retry lie in the same window or the one
    // before it.
    EXPECT_LE(count_within(retries, 10s),
              0.2 * static_cast<double>(count_within(first_calls, 20s)) + 2);
  }
  EXPECT_GT(retries.size(), 100u);
}

// Guards against events that are split, merged or counted twice, for any size
// of the received chunks.
TEST(EventSplitterTest, ReturnsOnlyCompleteEvents) {
  const std::string stream =
      "id: 1\ndata: a\n\npartial-version: 3\nid: 2\ndata: b\n\nid: 3\nda";
  for (size_t step = 1; step < stream.size(); ++step) {
    EventSplitter splitter;
    std::string complete_events;
    for (size_t i = 0; i < stream.size(); i += step) {
      complete_events += splitter.Add(stream.substr(i, step));
    }
    EXPECT_EQ(complete_events, stream.substr(0, stream.size() - 8));
    EXPECT_EQ(splitter.incomplete_event(), "id: 3\nda");
    EXPECT_EQ(splitter.last_event_id(), "2");
    EXPECT_EQ(splitter.event_count(), 2u);
  }
}

// Returns the processor time, in seconds, in which a splitter receives `bytes`
// in pieces of `piece_size`.
double MeasureSplitting(std::string_view bytes, size_t piece_size) {
  EventSplitter splitter;
  const std::clock_t start = std::clock();
  for (size_t at = 0; at < bytes.size(); at += piece_size) {
    splitter.Add(bytes.substr(at, piece_size));
  }
  return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
}

// Guards against an endpoint that occupies the event loop with an event without
// end in small pieces: each piece searched the whole unfinished event again.
TEST(EventSplitterTest, UnfinishedEventsTakeLittleMoreTimeThanFinishedOnes) {
  constexpr int kMaxTimeRatio = 20;
  const auto repeat = [](std::string_view line, size_t size) {
    std::string bytes;
    while (bytes.size() < size) {
      bytes += line;
    }
    return bytes;
  };
  struct Case {
    const char* line;
    size_t size;
  };
  for (const Case& test :
       {Case{"a\n", 32768}, Case{"a\r\n", 32768}, Case{"data: x\n", 65536},
        Case{":\n", 32768}, Case{"x", 262144}}) {
    const double finished = MeasureSplitting(repeat("a\n\n", test.size), 1);
    EXPECT_LT(MeasureSplitting(repeat(test.line, test.size), 1),
              kMaxTimeRatio * finished)
        << test.line;
  }
}

// Guards against an event id that changes the head of the request which resumes
// the stream at another endpoint.
TEST(EventSplitterTest, StopsBeforeAnIdThatNoHeaderFieldCanHold) {
  for (const std::string& id : {std::string("2\rX: 1"), std::string("2\0", 2),
                                std::string("2\x7f"), std::string(2000, '2')}) {
    EventSplitter splitter;
    EXPECT_EQ(splitter.Add("id: 1\ndata: a\n\nid: " + id + "\ndata: b\n\n"),
              "id: 1\ndata: a\n\n");
    EXPECT_TRUE(splitter.is_next_event_invalid());
    EXPECT_EQ(splitter.last_event_id(), "1");
  }
}

// Guards against an empty line that is overlooked because it arrives in pieces.
TEST(EventSplitterTest, FindsEmptyLinesThatArriveInPieces) {
  for (const std::string end : {"\n\n", "\r\n\r\n", "\n\r\n", "\r\n\n"}) {
    std::string stream = "data: a";
    stream.append(end).append("data: b").append(end);
    for (size_t first = 1; first < stream.size(); ++first) {
      for (size_t second = first; second < stream.size(); ++second) {
        EventSplitter splitter;
        std::string events = splitter.Add(stream.substr(0, first));
        events += splitter.Add(stream.substr(first, second - first));
        events += splitter.Add(stream.substr(second));
        EXPECT_EQ(events, stream);
        EXPECT_EQ(splitter.event_count(), 2u);
      }
    }
  }
}

// Guards against choosing a route with a shorter path prefix, and against
// matching a part of a path segment.
TEST(ActiveConfigurationTest, TheLongestPrefixWins) {
  GatewayConfig config;
  for (const char* const prefix : {"/a/", "/a/b/", "/"}) {
    RouteDefinition route;
    route.name = prefix;
    route.host = "h";
    route.path_prefix = prefix;
    config.routes.push_back(route);
  }
  const ActiveConfiguration active(config);
  EXPECT_EQ(active.FindRoute("h", "/a/b/c")->name, "/a/b/");
  EXPECT_EQ(active.FindRoute("h", "/a/bc")->name, "/a/");
  EXPECT_EQ(active.FindRoute("h", "/x")->name, "/");
  EXPECT_EQ(active.FindRoute("other", "/a/"), nullptr);
}

// Guards against activating a configuration that refers to pools or stages that
// do not exist.
TEST(ConfigCheckTest, ReportsAllErrorsTogether) {
  GatewayConfig config;
  RouteDefinition route;
  route.name = "r";
  route.path_prefix = "no-slash";
  route.max_attempts = 0;
  route.pools = {{PoolId("missing"), -1}};
  route.stages = {{.pool = PoolId("missing"), .after = {0}}};
  config.routes = {route};
  config.pools = {{.id = PoolId("p")}, {.id = PoolId("p")}};
  EXPECT_EQ(CheckGatewayConfig(config).size(), 7u);
}

// Guards against a team whose name ends the head of each of its requests.
TEST(ConfigCheckTest, ReportsTeamNamesThatNoHeaderFieldCanHold) {
  GatewayConfig config;
  config.teams = {{TeamId("alpine treks"), {"key-1"}, std::nullopt}};
  EXPECT_TRUE(CheckGatewayConfig(config).empty());
  config.teams.push_back({TeamId("a\r\nX: 1"), {"key-2"}, std::nullopt});
  EXPECT_EQ(CheckGatewayConfig(config).size(), 1u);
}

// Guards against stages that start before their inputs exist, and against
// results that are released too early.
TEST(StageProgressTest, FollowsTheDependencies) {
  const std::vector<StageDefinition> definitions = {
      {.pool = PoolId("a"), .after = {}},
      {.pool = PoolId("b"), .after = {}},
      {.pool = PoolId("c"), .after = {0}},
      {.pool = PoolId("d"), .after = {2}}};
  StageProgress progress = MakeStageProgress({1, 0, 2, 1});
  EXPECT_EQ(ReadyStages(definitions, progress), std::vector<size_t>{0});
  EXPECT_EQ(RemainingChainLength(definitions, progress, 0), 3);
  progress.stages[0].state = StageProgress::State::kDone;
  progress.stages[0].results = {ResultHandle("x")};
  EXPECT_EQ(ReadyStages(definitions, progress), std::vector<size_t>{2});
  EXPECT_EQ(StageInputs(definitions, progress, 2).size(), 1u);
  EXPECT_TRUE(FindReleasableStages(definitions, progress).empty());
  progress.stages[2].state = StageProgress::State::kDone;
  EXPECT_EQ(FindReleasableStages(definitions, progress),
            std::vector<size_t>{0});
  EXPECT_FALSE(AreAllStagesDone(progress));
  progress.stages[3].state = StageProgress::State::kDone;
  progress.stages[3].results = {ResultHandle("y")};
  EXPECT_TRUE(AreAllStagesDone(progress));
  EXPECT_EQ(FinalResults(definitions, progress).size(), 1u);
}

// Guards against different coordinators for the stages of one request: stage
// pools that are linked by common routes must form one group.
TEST(ActiveConfigurationTest, StagePoolsOfLinkedRoutesFormOneGroup) {
  GatewayConfig config;
  config.routes.resize(3);
  config.routes[0].stages = {{.pool = PoolId("c")}, {.pool = PoolId("d")}};
  config.routes[1].stages = {{.pool = PoolId("x")}};
  config.routes[2].stages = {{.pool = PoolId("b")}, {.pool = PoolId("d")}};
  const ActiveConfiguration active(std::move(config));
  EXPECT_EQ(active.StagePoolGroup(PoolId("c")), PoolId("b"));
  EXPECT_EQ(active.StagePoolGroup(PoolId("d")), PoolId("b"));
  EXPECT_EQ(active.StagePoolGroup(PoolId("b")), PoolId("b"));
  EXPECT_EQ(active.StagePoolGroup(PoolId("x")), PoolId("x"));
  EXPECT_EQ(active.StagePoolGroup(PoolId("other")), PoolId("other"));
}

// Guards against large results that occupy memory at the endpoint which
// produced them while a longer chain of stages of the same request is
// unfinished.
TEST(StageProgressTest, DelaysAStageWhileALongerChainIsUnfinished) {
  std::vector<StageDefinition> definitions(4);
  definitions[2].after = {1};
  definitions[3].after = {2};
  StageProgress progress = MakeStageProgress({1, 1, 1, 1});
  EXPECT_EQ(StagesToStart(definitions, progress), std::vector<size_t>{1});
  progress.stages[1].state = StageProgress::State::kRunning;
  EXPECT_TRUE(StagesToStart(definitions, progress).empty());
  progress.stages[1].state = StageProgress::State::kDone;
  EXPECT_EQ(StagesToStart(definitions, progress), std::vector<size_t>{2});
  progress.stages[2].state = StageProgress::State::kDone;
  EXPECT_EQ(StagesToStart(definitions, progress), (std::vector<size_t>{0, 3}));
}

// Guards against a restarted endpoint that stays ejected for failures before
// its restart, and against sending calls to draining endpoints.
TEST(EndpointRegistryTest, FollowsRegistrations) {
  EndpointRegistry registry;
  const PoolId pool("p");
  EndpointRegistration registration = MakeRegistration("a", "p", "valley");
  registry.Put(registration);
  registry.Serving(pool)[0]->ejected_until = kNow;
  registration.started_at_ms = 5;
  registry.Put(registration);
  EXPECT_EQ(registry.Serving(pool)[0]->ejected_until, TimePoint());
  registration.is_draining = true;
  registry.Put(registration);
  EXPECT_TRUE(registry.Serving(pool).empty());
  registry.Put(MakeRegistration("b", "p", "valley"));
  registry.ReplaceAll({MakeRegistration("c", "p", "valley")});
  ASSERT_EQ(registry.Serving(pool).size(), 1u);
  EXPECT_EQ(registry.Serving(pool)[0]->registration.id, EndpointId("c"));
}

}  // namespace
}  // namespace peridotmill
