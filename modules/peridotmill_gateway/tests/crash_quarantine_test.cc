#include <gtest/gtest.h>

#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

// A node whose engines crash on prompts with the part "culprit".
class CrashQuarantineTest : public GatewayFixture {
 protected:
  // Sends a request whose prompt has these parts and one of its own.
  std::shared_ptr<FakeCallerChannel> SendPrompt(
      const std::string& route,
      const std::vector<std::string>& parts) {
    CallerRequest request;
    request.id = RequestId("q" + std::to_string(++sent_request_count_));
    request.host = "host";
    request.path = "/" + route + "/x";
    request.message.target = request.path;
    request.message.body = MessageBody("own" + request.id.value());
    request.key = "key-1";
    request.deadline = 8s;
    request.generation = GenerationDemand();
    for (const std::string& part : parts) {
      request.generation->parts.push_back({part, 100});
    }
    request.generation->parts.push_back({"own" + request.id.value(), 10});
    if (route == "staged") {
      request.stage_item_counts = {2, 3};
      request.stage_input_key = "k";
    }
    auto channel = std::make_shared<FakeCallerChannel>();
    gateway_.Handle(std::move(request), channel);
    timers_.Advance(5ms);
    return channel;
  }

  // Breaks off the last call after `events` events and restarts its engine as a
  // new process.
  void CrashEngine(int events = 0, Duration pause = 300ms) {
    const size_t last = endpoint_caller_.calls.size() - 1;
    EndpointRegistration engine = endpoint_caller_.calls[last]->call.endpoint;
    endpoint_caller_.listener(last).OnResponseHead(
        FakeEndpointCaller::StreamHead());
    SendEvents(last, events);
    endpoint_caller_.listener(last).OnResponseEnd(HttpCallEnd::kTruncated);
    engine.started_at_ms = ++started_at_ms_;
    endpoints_.Put(engine);
    timers_.Advance(pause);
  }
  void SendEvents(size_t call, int events) {
    for (int i = 1; i <= events; ++i) {
      endpoint_caller_.listener(call).OnResponseBody(
          "id: " + std::to_string(i) + "\ndata: x\n\n");
    }
  }
  // Answers the last call in full.
  void Answer() {
    const size_t last = endpoint_caller_.calls.size() - 1;
    endpoint_caller_.listener(last).OnResponseHead(
        FakeEndpointCaller::StreamHead());
    SendEvents(last, 3);
    endpoint_caller_.listener(last).OnResponseEnd(HttpCallEnd::kComplete);
    timers_.Advance(5ms);
  }
  // Crashes `count` engines with requests on the part "culprit".
  void CrashEngines(int count) {
    for (int i = 0; i < count; ++i) {
      SendPrompt("chat", {"common", "culprit"});
      CrashEngine();
      SendPrompt("chat", {"common"});
      Answer();
    }
  }
  // Reports one crash under a request of another node with the part "culprit".
  void ReportCrash(const std::string& engine) {
    EndpointRegistration registration;
    registration.id = EndpointId(engine);
    ReportCrashAt(registration);
    timers_.Advance(300ms);
  }
  void ReportCrashAt(const EndpointRegistration& engine) {
    GenerationDemand demand;
    demand.parts = {{"culprit", 1}, {"own", 1}};
    CrashNews news;
    news.crashes.push_back(
        {{engine.id, engine.started_at_ms},
         {{HashSharedParts(demand)[0], clock_.Now(), 0, 1}}});
    quarantine_.Apply(news, NewsSource::kCoordinator);
  }
  bool IsRefusal(const FakeCallerChannel& channel) {
    return channel.status() == 503 &&
           channel.body.find("request_quarantined") != std::string::npos;
  }

  int64_t started_at_ms_ = 0;
};

// Guards against requests of one kind that crash one engine after the other.
TEST_F(CrashQuarantineTest, RefusesAPromptPartThatCrashesEngines) {
  CrashEngines(3);
  const size_t calls = endpoint_caller_.calls.size();
  const auto refused = SendPrompt("chat", {"common", "culprit"});
  EXPECT_EQ(endpoint_caller_.calls.size(), calls);
  ASSERT_TRUE(IsRefusal(*refused));
  EXPECT_TRUE(refused->heads[0].headers.Find("Retry-After"));
  EXPECT_EQ(gateway_.reasons().Get(Reason::kRequestQuarantined), 1u);
  SendPrompt("chat", {"common"});
  EXPECT_EQ(endpoint_caller_.calls.size(), calls + 1);
}

// Guards against refusing sound prompts when engines are lost for another
// reason.
TEST_F(CrashQuarantineTest, ServesPromptsAfterCrashesWithoutACommonPart) {
  for (int i = 0; i < 5; ++i) {
    SendPrompt("chat", {"common", "subject" + std::to_string(i)});
    CrashEngine();
    SendPrompt("chat", {"common"});
    Answer();
  }
  EXPECT_FALSE(events_.Has("suspect_quarantined"));
}

// Guards against refusing a sound prompt when the report that names the culprit
// of the third crash arrives after the node's own.
TEST_F(CrashQuarantineTest, WaitsForTheReportsOfOtherNodes) {
  for (int i = 0; i < 2; ++i) {
    SendPrompt("chat", {"subject"});
    ReportCrashAt(endpoint_caller_.calls.back()->call.endpoint);
    CrashEngine();
  }
  SendPrompt("chat", {"subject"});
  const EndpointRegistration last =
      endpoint_caller_.calls.back()->call.endpoint;
  CrashEngine(/*events=*/0, /*pause=*/100ms);
  ReportCrashAt(last);
  timers_.Advance(300ms);
  EXPECT_TRUE(IsRefusal(*SendPrompt("chat", {"culprit"})));
  const size_t calls = endpoint_caller_.calls.size();
  SendPrompt("chat", {"subject"});
  EXPECT_EQ(endpoint_caller_.calls.size(), calls + 1);
}

// Guards against retries and resumed streams that carry a request from one
// crashed engine to the next.
TEST_F(CrashQuarantineTest, DoesNotRetryAPromptAfterASecondCrash) {
  for (const int events : {0, 1}) {
    SCOPED_TRACE(events);
    const std::string engine = "other" + std::to_string(events);
    const size_t calls = endpoint_caller_.calls.size();
    const auto first = SendPrompt("resume", {"culprit" + engine});
    CrashEngine(events);
    EXPECT_EQ(endpoint_caller_.calls.size(), calls + 2);
    CrashEngine(events);
    const auto second = SendPrompt("resume", {"culprit" + engine});
    EXPECT_EQ(endpoint_caller_.calls.size(), calls + 3);
    CrashEngine(events);
    EXPECT_EQ(endpoint_caller_.calls.size(), calls + 3);
    EXPECT_TRUE(second->status() == 502 || second->is_aborted);
  }
  EXPECT_EQ(gateway_.reasons().Get(Reason::kRequestSuspected), 2u);
}

// Guards against the loss of requests that were at engines which failed
// together, as the engines of one host do.
TEST_F(CrashQuarantineTest, RetriesRequestsAfterEnginesFailedTogether) {
  const auto engine = [this](size_t call) {
    return endpoint_caller_.calls[call]->call.endpoint.id;
  };
  SendPrompt("resume", {"shared", "0"});
  for (int i = 1; engine(endpoint_caller_.calls.size() - 1) == engine(0); ++i) {
    SendPrompt("resume", {"shared", std::to_string(i)});
  }
  const size_t calls = endpoint_caller_.calls.size();
  for (const size_t call : {size_t{0}, calls - 1}) {
    endpoint_caller_.listener(call).OnResponseEnd(HttpCallEnd::kNoResponse);
  }
  EXPECT_EQ(endpoint_caller_.calls.size(), calls + 2);
  EXPECT_EQ(gateway_.reasons().Get(Reason::kRequestSuspected), 0u);
}

// Guards against the loss of streams whose engine crashed under another
// request.
TEST_F(CrashQuarantineTest, ResumesASoundStreamAfterCrashes) {
  CrashEngines(2);
  SendPrompt("resume", {"common"});
  const size_t calls = endpoint_caller_.calls.size();
  CrashEngine(2);
  EXPECT_EQ(endpoint_caller_.calls.size(), calls + 1);
}

// Guards against waiting requests that reach engines after their part was
// quarantined.
TEST_F(CrashQuarantineTest, EndsWaitingRequestsAtOnce) {
  const auto waiting = SendPrompt("staged", {"culprit"});
  const auto sent = SendPrompt("chat", {"culprit"});
  const auto sound = SendPrompt("staged", {"common"});
  ASSERT_EQ(endpoint_caller_.calls.size(), 1u);
  for (const char* const engine : {"x1", "x2", "x3"}) {
    ReportCrash(engine);
  }
  EXPECT_TRUE(IsRefusal(*waiting));
  EXPECT_EQ(sent->status(), 502);
  EXPECT_FALSE(endpoint_caller_.calls[0]->is_open);
  EXPECT_TRUE(sound->heads.empty());
}

// Guards against requests that lose their attempt, and never end, because of a
// quarantine that is already over when the node hears of it.
TEST_F(CrashQuarantineTest, KeepsAttemptsWhenTheReportedQuarantineIsOver) {
  const auto sent = SendPrompt("chat", {"culprit"});
  GenerationDemand demand;
  demand.parts = {{"culprit", 1}, {"own", 1}};
  CrashNews news;
  news.quarantines.push_back({.id = HashSharedParts(demand)[0],
                              .since = clock_.Now() - 12s,
                              .until = clock_.Now() - 2s});
  quarantine_.Apply(news, NewsSource::kCoordinator);
  timers_.Advance(300ms);
  EXPECT_TRUE(endpoint_caller_.calls[0]->is_open);
  Answer();
  EXPECT_TRUE(sent->is_finished);
}

// Guards against a part that stays refused although engines no longer crash on
// it, and against more than one request that finds out.
TEST_F(CrashQuarantineTest, AProbeClearsAHarmlessPart) {
  CrashEngines(3);
  timers_.Advance(9s);
  EXPECT_TRUE(IsRefusal(*SendPrompt("chat", {"common", "culprit"})));
  timers_.Advance(1s);
  const size_t calls = endpoint_caller_.calls.size();
  SendPrompt("chat", {"common", "culprit"});
  EXPECT_EQ(endpoint_caller_.calls.size(), calls + 1);
  EXPECT_TRUE(IsRefusal(*SendPrompt("chat", {"common", "culprit"})));
  EXPECT_EQ(endpoint_caller_.calls.size(), calls + 1);
  Answer();
  EXPECT_TRUE(events_.Has("suspect_cleared"));
  SendPrompt("chat", {"common", "culprit"});
  EXPECT_EQ(endpoint_caller_.calls.size(), calls + 2);
}

// Guards against probes at a constant rate, each of which crashes an engine.
TEST_F(CrashQuarantineTest, AFailedProbeLengthensTheQuarantine) {
  CrashEngines(3);
  timers_.Advance(10s);
  SendPrompt("resume", {"common", "culprit"});
  const size_t calls = endpoint_caller_.calls.size();
  CrashEngine();
  EXPECT_EQ(endpoint_caller_.calls.size(), calls);
  timers_.Advance(39s);
  EXPECT_TRUE(IsRefusal(*SendPrompt("chat", {"common", "culprit"})));
  timers_.Advance(1s);
  SendPrompt("chat", {"common", "culprit"});
  EXPECT_EQ(endpoint_caller_.calls.size(), calls + 1);
}

// Guards against a coordinator that starts the stages of a prompt although it
// knows that the engine would crash.
TEST_F(CrashQuarantineTest, TheCoordinatorRefusesAQuarantinedPart) {
  class Listener final : public StageTaskListener {
   public:
    void OnStageTaskEnd(size_t, StageTaskResult result) override {
      outcome = result.outcome;
      retry_after = result.retry_after;
    }
    StageItemOutcome outcome = StageItemOutcome::kDone;
    Duration retry_after = Duration::zero();
  };
  CrashEngines(3);
  GenerationDemand demand;
  demand.parts = {{"culprit", 1}, {"own", 1}};
  StageTask task;
  task.request = RequestId("foreign");
  task.pool = PoolId("engines");
  task.group = PoolId("engines");
  task.deadline = clock_.Now() + 5s;
  task.prompt = PromptDemand{.pool = PoolId("engines"),
                             .shared = ComputeSharedPrefixes(demand),
                             .tokens = 2,
                             .suspects = HashSharedParts(demand)};
  Listener listener;
  const auto handle = coordinator_.Submit(task, &listener);
  timers_.Advance(5ms);
  EXPECT_EQ(listener.outcome, StageItemOutcome::kQuarantined);
  EXPECT_GT(listener.retry_after, 8s);
}

}  // namespace
}  // namespace peridotmill
