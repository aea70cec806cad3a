#include <gtest/gtest.h>

#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

// A node whose engines have two versions of their software.
class StreamVersionsTest : public GatewayFixture {
 protected:
  StreamVersionsTest() {
    Register("e1", "v1");
    Register("e2", "v2");
  }

  void Register(const std::string& engine, const std::string& version) {
    EndpointRegistration registration =
        MakeRegistration(engine, "engines", "valley");
    registration.software_version = version;
    endpoints_.Put(registration);
  }
  // Sends a stream request, which takes up the stream of `resumed` after its
  // first event unless that is empty.
  std::shared_ptr<FakeCallerChannel> SendStream(
      const std::string& id,
      const std::string& resumed = "") {
    CallerRequest request;
    request.id = RequestId(id);
    request.host = "host";
    request.path = "/resume/x";
    request.message.target = request.path;
    request.message.body = MessageBody("body of " + id);
    request.key = "key-1";
    request.deadline = 8s;
    if (!resumed.empty()) {
      request.resume_after_event = "1";
      request.resumed_request = RequestId(resumed);
    }
    auto channel = std::make_shared<FakeCallerChannel>();
    gateway_.Handle(std::move(request), channel);
    timers_.Advance(5ms);
    return channel;
  }
  // Begins the last call's stream and breaks it off after its first event.
  // Returns the version of its engine.
  std::string BreakStream() {
    const size_t last = endpoint_caller_.calls.size() - 1;
    endpoint_caller_.listener(last).OnResponseHead(
        FakeEndpointCaller::StreamHead());
    endpoint_caller_.listener(last).OnResponseBody("id: 1\ndata: a\n\n");
    endpoint_caller_.listener(last).OnResponseEnd(HttpCallEnd::kTruncated);
    timers_.Advance(5ms);
    return endpoint_caller_.calls[last]->call.endpoint.software_version;
  }
};

// Guards against an answer whose events come from engines of two versions.
TEST_F(StreamVersionsTest, AnAnswerGoesOnOnlyAtItsVersion) {
  for (int i = 0; i < 20; ++i) {
    const size_t first = endpoint_caller_.calls.size();
    const auto caller = SendStream("s" + std::to_string(i));
    ASSERT_EQ(endpoint_caller_.calls.size(), first + 1);
    BreakStream();
    EXPECT_EQ(endpoint_caller_.calls.size(), first + 1);
    EXPECT_TRUE(caller->is_aborted);
    timers_.Advance(1s);
  }
}

// Guards against a stream that a caller takes up at an engine of another
// version while both versions serve.
TEST_F(StreamVersionsTest, ACallersStreamGoesOnOnlyAtItsVersion) {
  Register("e3", "v1");
  Register("e4", "v2");
  for (int i = 0; i < 40; ++i) {
    const std::string id = "s" + std::to_string(i);
    SendStream(id);
    size_t calls = endpoint_caller_.calls.size();
    const std::string version = BreakStream();
    if (endpoint_caller_.calls.size() > calls) {
      BreakStream();
    }
    calls = endpoint_caller_.calls.size();
    SendStream(id + "-again", id);
    ASSERT_EQ(endpoint_caller_.calls.size(), calls + 1);
    EXPECT_EQ(endpoint_caller_.calls.back()->call.endpoint.software_version,
              version);
    BreakStream();
    timers_.Advance(1s);
  }
}

// Guards against a stream that a caller takes up at the only version left
// although another one began it.
TEST_F(StreamVersionsTest, RefusesAStreamWhoseVersionHasLeft) {
  SendStream("s");
  const std::string version = BreakStream();
  endpoints_.Remove(EndpointId(version == "v1" ? "e1" : "e2"));
  const size_t calls = endpoint_caller_.calls.size();
  const auto refused = SendStream("again", "s");
  EXPECT_EQ(endpoint_caller_.calls.size(), calls);
  EXPECT_EQ(refused->status(), 503);
}

}  // namespace
}  // namespace peridotmill
