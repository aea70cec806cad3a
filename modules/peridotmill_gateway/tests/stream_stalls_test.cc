// Tests of the choice of engines with regard to the streams that a prompt's
// prefill holds up there.
#include "peridotmill_gateway/placement/stream_stalls.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/pace/endpoint_pace.h"
#include "peridotmill_gateway/placement/endpoint_placement.h"
#include "peridotmill_gateway/placement/prompt_placement.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

constexpr double kTokensPerMs = 50;
constexpr Duration kMaxPause = 400ms;
constexpr int64_t kMemoryTokens = 550'000;

PrefillBacklog MakeBacklog(double open_streams, double new_tokens) {
  return {.open_streams = open_streams,
          .new_tokens = new_tokens,
          .tokens_per_ms = kTokensPerMs};
}

// Guards against long prompts that count as harmless, and against short ones,
// or engines without streams, that are avoided.
TEST(StreamStallsTest, LongPromptsStallTheStreamsOfTheirEngine) {
  EXPECT_EQ(PredictStalledStreams(MakeBacklog(0, 40'000), kMaxPause), 0);
  EXPECT_EQ(PredictStalledStreams(MakeBacklog(4, 4'000), kMaxPause), 0);
  EXPECT_NEAR(PredictStalledStreams(MakeBacklog(4, 20'000), kMaxPause), 4, 0.1);
  const double some = PredictStalledStreams(MakeBacklog(4, 14'000), kMaxPause);
  EXPECT_GT(some, 0.5);
  EXPECT_LT(some, 3.5);
}

// Guards against prompts that queue up at an engine because its streams stand
// still anyway.
TEST(StreamStallsTest, AQueueCostsWhatItStalls) {
  PrefillBacklog backlog = MakeBacklog(5, 4'000);
  backlog.pending_tokens = 25'000;
  backlog.pending_prompts = 2;
  EXPECT_EQ(PredictStalledStreams(backlog, kMaxPause), 5);
  // The streams that begin before the prompt's own prefill are stalled by it.
  backlog.new_tokens = 25'000;
  EXPECT_EQ(PredictStalledStreams(backlog, kMaxPause), 7);
}

// Engines that prefill one prompt after the other, write no events meanwhile,
// and write each stream for a second. Their hosts have other work, so that a
// prefill takes up to twice its usual time. Prompts are placed by PlacePrompt.
class StallModel {
 public:
  StallModel(std::optional<Duration> max_pause, uint64_t seed)
      : max_pause_(max_pause), random_(seed) {
    for (int i = 0; i < kEngines; ++i) {
      registry_.Put(
          MakeRegistration("e" + std::to_string(i), "engines", "valley"));
    }
    RecordStatedPace(registry_.Serving(PoolId("engines"))[0]->pace, 100, now_);
  }

  // Plays `count` arrivals, a third of them long prompts whose prefix no engine
  // has read. Returns the share of streams that paused for too long.
  double Play(int count) {
    for (int i = 0; i < count; ++i) {
      now_ += FromMilliseconds(2 * kMeanDistanceMs * random_.Unit());
      RecordResponses();
      Arrive(i);
    }
    int stalled = 0;
    for (const auto& [id, engine] : engines_) {
      for (const Stream& stream : engine.streams) {
        stalled += LongestPause(engine, stream) > kMaxPause ? 1 : 0;
      }
    }
    return static_cast<double>(stalled) / count;
  }

 private:
  static constexpr int kEngines = 20;
  static constexpr double kMeanDistanceMs = 25;
  static constexpr Duration kStreamTime = 1s;

  struct Stream {
    RequestId request;
    TimePoint first_event;
    bool is_recorded = false;
  };
  struct Prefill {
    TimePoint begin;
    TimePoint end;
  };
  struct Engine {
    TimePoint free_at;
    std::vector<Prefill> prefills;
    std::vector<Stream> streams;
  };

  void Arrive(int number) {
    const bool is_long = random_.Unit() < 0.33;
    const RequestId request("r" + std::to_string(number));
    const PromptDemand prompt = {.pool = PoolId("engines"),
                                 .tokens = is_long ? 17'000 : 2'000};
    const EndpointPtr chosen =
        PlacePrompt(placements_, registry_.Serving(PoolId("engines")), request,
                    prompt, {.max_pause = max_pause_}, kMemoryTokens, now_);
    Engine& engine = engines_[chosen->registration.id];
    const TimePoint begin = std::max(now_, engine.free_at);
    engine.free_at =
        begin +
        FromMilliseconds((1 + random_.Unit()) *
                         static_cast<double>(prompt.tokens) / kTokensPerMs);
    engine.prefills.push_back({begin, engine.free_at});
    engine.streams.push_back({request, engine.free_at});
  }
  void RecordResponses() {
    for (auto& [id, engine] : engines_) {
      for (Stream& stream : engine.streams) {
        if (!stream.is_recorded && stream.first_event <= now_) {
          stream.is_recorded = true;
          RecordPromptResponse(placements_, stream.request, events_,
                               stream.first_event);
        }
      }
    }
  }
  // Returns the longest time without an event: prefills that follow each other
  // are one pause.
  static Duration LongestPause(const Engine& engine, const Stream& stream) {
    Duration longest = Duration::zero();
    TimePoint begin = stream.first_event;
    TimePoint end = stream.first_event;
    for (const Prefill& prefill : engine.prefills) {
      if (prefill.begin < stream.first_event ||
          prefill.begin > stream.first_event + kStreamTime) {
        continue;
      }
      if (prefill.begin > end) {
        begin = prefill.begin;
      }
      end = prefill.end;
      longest = std::max(longest, end - begin);
    }
    return longest;
  }

  std::optional<Duration> max_pause_;
  Random random_;
  TimePoint now_ = TimePoint(1h);
  EndpointRegistry registry_;
  PromptPlacements placements_;
  RecordingEvents events_;
  std::map<EndpointId, Engine> engines_;
};

// Guards against streams that pause for too long since long prompts are sent to
// engines that write streams, while others write none.
TEST(StreamStallsTest, FewStreamsPauseForTooLongUnderLongPrompts) {
  for (const uint64_t seed : {1, 2, 3, 4}) {
    const double unlimited = StallModel(std::nullopt, seed).Play(1500);
    const double limited = StallModel(kMaxPause, seed).Play(1500);
    EXPECT_LE(limited, unlimited / 2) << seed;
  }
}

// Guards against first events that count as late although nothing can change
// that, or as on time although the engine may turn slow.
TEST(StreamStallsTest, LatenessGrowsWithTheShareOfTheTimeLeft) {
  EXPECT_EQ(PredictLateness(MakeBacklog(0, 10'000), 500ms), 0);
  EXPECT_GT(PredictLateness(MakeBacklog(0, 20'000), 500ms), 0.5);
  EXPECT_EQ(PredictLateness(MakeBacklog(0, 30'000), 500ms), 1);
  EXPECT_EQ(PredictLateness(MakeBacklog(0, 30'000), -100ms), 0);
}

// Guards against a popular prompt that queues at the engine which has read its
// shared part until it is late, although another one is in time.
TEST(StreamStallsTest, APromptLeavesItsEngineIfItWouldBeLateThere) {
  constexpr uint64_t kPrefix = 7;
  EndpointRegistry registry;
  registry.Put(MakeRegistration("e1", "engines", "valley"));
  registry.Put(MakeRegistration("e2", "engines", "valley"));
  const auto& engines = registry.Serving(PoolId("engines"));
  const TimePoint now(1h);
  RecordStatedPace(engines[0]->pace, 100, now);
  const PromptDemand prompt = {.pool = PoolId("engines"),
                               .shared = {{kPrefix, 11'000}},
                               .tokens = 12'000};
  const EndpointId holder =
      FindRendezvousEndpoint(engines, PrefixAffinity(prompt.shared))
          ->registration.id;
  PromptPlacements placements;
  placements.usual_paces[prompt.pool] = UsualPace();
  EngineState& state = placements.engines[holder];
  state.prefixes[kPrefix].tokens = 11'000;
  state.pending_prefill_tokens = 20'000;
  const auto choose = [&](std::optional<TimePoint> due) {
    PromptDemand demand = prompt;
    demand.due = due;
    return PreviewEngine(placements, engines, demand, PromptData(), now)
        ->registration.id;
  };
  EXPECT_EQ(choose(std::nullopt), holder);
  EXPECT_NE(choose(now + 420ms), holder);
  EXPECT_EQ(choose(now + 3s), holder);
}

}  // namespace
}  // namespace peridotmill
