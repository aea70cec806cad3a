#ifndef PERIDOTMILL_GATEWAY_TESTS_GATEWAY_FIXTURE_H_
#define PERIDOTMILL_GATEWAY_TESTS_GATEWAY_FIXTURE_H_

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "peridotmill_gateway/peridotmill_gateway.h"
#include "peridotmill_gateway/tests/fake_caller_channel.h"
#include "peridotmill_gateway/tests/fake_endpoint_caller.h"
#include "peridotmill_gateway/tests/fake_stage_caller.h"
#include "peridotmill_gateway/tests/manual_timer_queue.h"
#include "peridotmill_gateway/tests/memory_store.h"
#include "peridotmill_gateway/tests/recording_events.h"

namespace peridotmill {

inline EndpointRegistration MakeRegistration(const std::string& id,
                                             const std::string& pool,
                                             const std::string& domain,
                                             int slots = 64) {
  EndpointRegistration registration;
  registration.id = EndpointId(id);
  registration.pool = PoolId(pool);
  registration.address = id + ":80";
  registration.failure_domain = FailureDomainId(domain);
  registration.slots = slots;
  return registration;
}

// A gateway node without sockets, with five routes: "book" is not idempotent,
// "look" is idempotent, "chat" is a stream, "resume" is a resumable stream, and
// "staged" is a resumable stream that follows two stages.
class GatewayFixture : public testing::Test {
 protected:
  GatewayFixture()
      : timers_(clock_),
        retry_budget_({.ratio = 0.2, .node_allowance = 4}),
        quarantine_(clock_, timers_, events_),
        memory_store_(timers_),
        store_(memory_store_, timers_, "n"),
        stream_versions_({clock_, timers_, store_, endpoints_, events_, "n-1",
                          [] { return true; }, [] { return size_t{1}; }}),
        coordinator_({clock_, timers_, stage_caller_, endpoints_, retry_budget_,
                      events_, &quarantine_},
                     1),
        gateway_({clock_, timers_, endpoint_caller_, stage_caller_,
                  coordinator_, endpoints_, retry_budget_, events_,
                  FailureDomainId("valley"), &quarantine_, &stream_versions_,
                  [this] { return is_configuration_outdated_; }},
                 2) {
    auto active = std::make_shared<const ActiveConfiguration>(MakeConfig(1));
    gateway_.SetConfiguration(active);
    coordinator_.SetConfiguration(active);
    stream_versions_.SetConfiguration(*active);
    for (const char* const id : {"p1", "p2", "p3"}) {
      endpoints_.Put(MakeRegistration(id, "plain", "valley", 6));
    }
    for (const char* const id : {"e1", "e2"}) {
      endpoints_.Put(MakeRegistration(id, "engines", "valley"));
    }
    endpoints_.Put(MakeRegistration("s1", "scan", "valley", 1));
    endpoints_.Put(MakeRegistration("r1", "rank", "valley", 1));
  }

  static RouteDefinition MakeRoute(const std::string& name,
                                   RequestKind kind,
                                   const std::string& pool,
                                   int max_attempts) {
    RouteDefinition route;
    route.name = name;
    route.host = "host";
    route.path_prefix = "/" + name + "/";
    route.kind = kind;
    route.pools = {{PoolId(pool), 1}};
    route.max_attempts = max_attempts;
    route.timeout = std::chrono::seconds(8);
    route.target_latency = std::chrono::milliseconds(1000);
    return route;
  }

  static GatewayConfig MakeConfig(int64_t revision) {
    GatewayConfig config;
    config.revision = Revision(revision);
    config.routes.push_back(
        MakeRoute("book", RequestKind::kNonIdempotent, "plain", 1));
    config.routes.push_back(
        MakeRoute("look", RequestKind::kIdempotent, "plain", 2));
    config.routes.push_back(
        MakeRoute("chat", RequestKind::kStream, "engines", 1));
    config.routes.push_back(
        MakeRoute("resume", RequestKind::kStream, "engines", 2));
    config.routes.back().is_resumable = true;
    config.routes.push_back(
        MakeRoute("staged", RequestKind::kStream, "engines", 2));
    config.routes.back().is_resumable = true;
    config.routes.back().stages = {
        {.pool = PoolId("scan"), .after = {}, .result_bytes = 1000},
        {.pool = PoolId("rank"), .after = {0}, .result_bytes = 100}};
    StagePoolDefinition stage;
    stage.batch_size = 4;
    stage.call_time = std::chrono::milliseconds(150);
    stage.item_time = std::chrono::milliseconds(10);
    config.pools = {{.id = PoolId("plain")},
                    {.id = PoolId("engines")},
                    {.id = PoolId("scan"), .stage = stage},
                    {.id = PoolId("rank"), .stage = stage}};
    config.teams = {{TeamId("alpine"), {"key-1"}, std::nullopt}};
    return config;
  }

  // Sends a request to a route with a deadline of 8 seconds, runs the timers
  // that are due, and returns the caller's end.
  std::shared_ptr<FakeCallerChannel> Send(const std::string& route,
                                          const std::string& key = "key-1") {
    CallerRequest request;
    request.id = RequestId("q" + std::to_string(++sent_request_count_));
    request.host = "host";
    request.path = "/" + route + "/x";
    // No two requests are the same.
    request.message.target = request.path + "?" + request.id.value();
    request.key = key;
    request.deadline = std::chrono::seconds(8);
    if (route == "staged") {
      request.stage_item_counts = {2, 3};
      request.stage_input_key = "k";
    }
    auto channel = std::make_shared<FakeCallerChannel>();
    gateway_.Handle(std::move(request), channel);
    timers_.Advance(Duration::zero());
    return channel;
  }

  bool is_configuration_outdated_ = false;
  ManualClock clock_;
  ManualTimerQueue timers_;
  FakeEndpointCaller endpoint_caller_;
  FakeStageCaller stage_caller_;
  RecordingEvents events_;
  EndpointRegistry endpoints_;
  PoolRetryBudget retry_budget_;
  CrashQuarantine quarantine_;
  MemoryStore memory_store_;
  MemoryStoreChannel store_;
  StreamVersions stream_versions_;
  StageCoordinator coordinator_;
  Gateway gateway_;
  int sent_request_count_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_TESTS_GATEWAY_FIXTURE_H_
