#include <gtest/gtest.h>

#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

// A node whose endpoints may crash under one request that comes again.
class RepeatedRequestTest : public GatewayFixture {
 protected:
  // Sends a request with this body, under a new id.
  std::shared_ptr<FakeCallerChannel> SendBody(const std::string& route,
                                              const std::string& body,
                                              const std::string& path = "x") {
    CallerRequest request;
    request.id = RequestId("q" + std::to_string(++sent_request_count_));
    request.host = "host";
    request.path = "/" + route + "/" + path;
    request.message.method = "POST";
    request.message.target = request.path;
    request.message.body = MessageBody(body);
    request.key = "key-1";
    request.deadline = 8s;
    if (route == "chat" || route == "resume") {
      request.generation = GenerationDemand();
      request.generation->parts = {{"common", 100}, {body, 10}};
    }
    auto channel = std::make_shared<FakeCallerChannel>();
    gateway_.Handle(std::move(request), channel);
    timers_.Advance(5ms);
    return channel;
  }

  // Ends the last call as the crash of its endpoint does, and starts the
  // endpoint again as a new process.
  void CrashLast(Duration pause = 1s) {
    const size_t last = endpoint_caller_.calls.size() - 1;
    EndpointRegistration endpoint = endpoint_caller_.calls[last]->call.endpoint;
    endpoint_caller_.listener(last).OnResponseEnd(HttpCallEnd::kNoResponse);
    endpoint.started_at_ms = ++started_at_ms_;
    endpoints_.Put(endpoint);
    timers_.Advance(pause);
  }
  void AnswerLast() {
    const size_t last = endpoint_caller_.calls.size() - 1;
    endpoint_caller_.listener(last).OnResponseHead(
        FakeEndpointCaller::SuccessHead());
    endpoint_caller_.listener(last).OnResponseEnd(HttpCallEnd::kComplete);
    timers_.Advance(5ms);
  }
  void AnswerStream() {
    const size_t last = endpoint_caller_.calls.size() - 1;
    endpoint_caller_.listener(last).OnResponseHead(
        FakeEndpointCaller::StreamHead());
    for (int i = 1; i <= 3; ++i) {
      endpoint_caller_.listener(last).OnResponseBody(
          "id: " + std::to_string(i) + "\ndata: x\n\n");
    }
    endpoint_caller_.listener(last).OnResponseEnd(HttpCallEnd::kComplete);
    timers_.Advance(5ms);
  }
  // Sends the request, again and again, until `count` endpoints have crashed
  // under it one after the other.
  void CrashEndpoints(const std::string& route,
                      const std::string& body,
                      int count) {
    for (int i = 0; i < count; ++i) {
      if (endpoint_caller_.calls.empty() ||
          !endpoint_caller_.calls.back()->is_open) {
        SendBody(route, body);
      }
      ASSERT_TRUE(endpoint_caller_.calls.back()->is_open);
      CrashLast(20ms);
    }
    timers_.Advance(1s);
  }
  static bool IsRefusal(const FakeCallerChannel& channel) {
    return channel.status() == 503 &&
           channel.body.find("quarantined") != std::string::npos;
  }

  int64_t started_at_ms_ = 0;
};

// Guards against a request without a prompt that crashes one endpoint after the
// other.
TEST_F(RepeatedRequestTest, RefusesAPlainRequestThatCrashesEndpoints) {
  for (const std::string route : {"book", "look"}) {
    SCOPED_TRACE(route);
    CrashEndpoints(route, "culprit", 3);
    const size_t calls = endpoint_caller_.calls.size();
    EXPECT_TRUE(IsRefusal(*SendBody(route, "culprit")));
    EXPECT_EQ(endpoint_caller_.calls.size(), calls);
  }
}

// Guards against a prompt that crashes engines although all of its shared parts
// are sound.
TEST_F(RepeatedRequestTest, RefusesAPromptWhoseSharedPartsAreSound) {
  for (int i = 0; i < 3; ++i) {
    SendBody("chat", "culprit");
    CrashLast();
    SendBody("chat", "sound" + std::to_string(i));
    AnswerStream();
  }
  const size_t calls = endpoint_caller_.calls.size();
  EXPECT_TRUE(IsRefusal(*SendBody("chat", "culprit")));
  EXPECT_EQ(endpoint_caller_.calls.size(), calls);
  SendBody("chat", "sound");
  EXPECT_EQ(endpoint_caller_.calls.size(), calls + 1);
}

// Guards against the quarantine of requests that only share the path, the team
// or the body with the culprit.
TEST_F(RepeatedRequestTest, ServesOtherRequestsOfTheRoute) {
  CrashEndpoints("book", "culprit", 3);
  const size_t calls = endpoint_caller_.calls.size();
  SendBody("book", "sound");
  SendBody("book", "culprit", "y");
  SendBody("look", "culprit");
  EXPECT_EQ(endpoint_caller_.calls.size(), calls + 3);
}

// Guards against the quarantine of a sound request that was at endpoints which
// crashed for another reason.
TEST_F(RepeatedRequestTest, AnAnswerClearsASoundRequest) {
  for (int i = 0; i < 6; ++i) {
    SendBody("book", "sound");
    CrashLast();
    SendBody("book", "sound");
    AnswerLast();
  }
  EXPECT_EQ(endpoint_caller_.calls.size(), 12u);
}

}  // namespace
}  // namespace peridotmill
