#include <gtest/gtest.h>

#include <algorithm>

#include "peridotmill_node/tests/fake_fleet.h"

namespace peridotmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Targets of the design page, section 1.
constexpr Duration kRefusalTarget = milliseconds(50);
constexpr Duration kConfigTarget = seconds(3);
constexpr Duration kUsualConfigTarget = seconds(1);
constexpr Duration kStartTarget = seconds(1);
// A request's own deadline is 4 s, after which it has ended.
constexpr Duration kDrain = seconds(5);

// One row of the table of section 6, run with fixed seeds.
void ForSeeds(const std::function<void(uint64_t seed)>& row) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    row(seed);
    if (testing::Test::HasFailure()) {
      return;
    }
  }
}

const Ending* EndingOf(const FakeFleet& fleet, const RequestId& id) {
  const auto& endings = fleet.requests.at(id).endings;
  return endings.empty() ? nullptr : &endings.front();
}

void ExpectAnswered(const FakeFleet& fleet, const RequestId& id) {
  const Ending* ending = EndingOf(fleet, id);
  ASSERT_NE(ending, nullptr) << id.value();
  EXPECT_TRUE(ending->is_answer)
      << id.value() << " " << ToString(ending->reason) << " "
      << ToString(ending->execution) << " after "
      << ToMilliseconds(ending->after) << " ms";
}

// All requests of one kind sent since then are answered.
void ExpectAllAnswered(const FakeFleet& fleet,
                       TimePoint since,
                       const std::function<bool(const SentRequest&)>& which) {
  for (const auto& [id, request] : fleet.requests) {
    if (request.at >= since && which(request)) {
      ExpectAnswered(fleet, id);
    }
  }
}

bool IsAny(const SentRequest&) {
  return true;
}
bool IsUnkeyed(const SentRequest& request) {
  return request.key.empty();
}

void ExpectRefusedNotRun(const FakeFleet& fleet, const RequestId& id) {
  const Ending* ending = EndingOf(fleet, id);
  ASSERT_NE(ending, nullptr) << id.value();
  EXPECT_FALSE(ending->is_answer) << id.value();
  EXPECT_EQ(ending->execution, Execution::kNotRun)
      << id.value() << " " << ToString(ending->reason);
  EXPECT_LE(ending->after, kRefusalTarget)
      << id.value() << " " << ToString(ending->reason) << " after "
      << ToMilliseconds(ending->after) << " ms";
}

// Sends one keyed action to each live node.
std::vector<RequestId> SendKeyed(FakeFleet& fleet,
                                 const std::string& prefix,
                                 const std::string& deadline = "") {
  std::vector<RequestId> sent;
  for (size_t node = 0; node < fleet.nodes.size(); ++node) {
    if (!fleet.nodes[node].is_dead) {
      sent.push_back(fleet.Send(static_cast<int>(node), Kind::kPay,
                                prefix + std::to_string(node), deadline));
    }
  }
  return sent;
}

void ExpectRevision(const FakeFleet& fleet, int64_t revision) {
  for (const FakeNode& node : fleet.nodes) {
    if (!node.is_dead) {
      EXPECT_EQ(node.state->config.revision.value(), revision)
          << "P7: " << node.settings.id.value();
    }
  }
}

// Everything is served again and every promise was kept.
void ExpectRecovered(FakeFleet& fleet) {
  EXPECT_TRUE(fleet.IsServingAll());
  fleet.Run(kDrain);
  fleet.CheckPromises();
}

TEST(FaultTable, None) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 6, 3, 2);
    const TimePoint start = fleet.now();
    fleet.RunWithTraffic(seconds(3), 40);
    fleet.Run(kDrain);
    ExpectAllAnswered(fleet, start, IsAny);
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, StoreDown) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 6, 3, 2);
    fleet.RunWithTraffic(seconds(1), 40);
    fleet.store_faults.is_down = true;
    fleet.store_faults.is_silent = seed % 2 == 0;
    if (fleet.store_faults.is_silent) {
      // Silence is slowness until the calls under way have timed out.
      fleet.RunWithTraffic(seconds(3), 40);
    }
    const TimePoint start = fleet.now();
    const auto at_once = SendKeyed(fleet, "down");
    fleet.RunWithTraffic(seconds(3), 40);
    const auto later = SendKeyed(fleet, "still-down");
    fleet.Run(kDrain);
    for (const RequestId& id : at_once) {
      ExpectRefusedNotRun(fleet, id);
    }
    for (const RequestId& id : later) {
      ExpectRefusedNotRun(fleet, id);
    }
    ExpectAllAnswered(fleet, start, IsUnkeyed);
    fleet.store_faults.is_down = false;
    fleet.Run(kConfigTarget);
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, StoreSlow) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 6, 3, 2);
    fleet.store_faults.delay = milliseconds(300);
    const TimePoint start = fleet.now();
    const auto hasty = SendKeyed(fleet, "hasty", "150");
    fleet.RunWithTraffic(seconds(3), 30);
    fleet.Run(kDrain);
    for (const RequestId& id : hasty) {
      ASSERT_NE(EndingOf(fleet, id), nullptr);
      EXPECT_FALSE(EndingOf(fleet, id)->is_answer);
      EXPECT_EQ(fleet.RunsOf(id, PoolId("ledger")), 0);
    }
    ExpectAllAnswered(fleet, start, [](const SentRequest& request) {
      return request.key.rfind("hasty", 0) != 0;
    });
    fleet.store_faults.delay = milliseconds(2);
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, StoreOneDomain) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 6, 3, 2);
    const TimePoint start = fleet.now();
    fleet.store_faults.unreachable_from = {FailureDomainId("d1"),
                                           FailureDomainId("d2")};
    fleet.RunWithTraffic(seconds(2), 40);
    const TimePoint settled = fleet.now();
    fleet.RunWithTraffic(seconds(3), 40);
    ASSERT_TRUE(fleet.Publish(FleetObjects(9)));
    fleet.Run(kConfigTarget);
    ExpectRevision(fleet, 2);
    fleet.Run(kDrain);
    ExpectAllAnswered(fleet, start, IsUnkeyed);
    int keyed_answers = 0;
    for (const auto& [id, request] : fleet.requests) {
      if (request.at < settled || request.key.empty()) {
        continue;
      }
      if (EndingOf(fleet, id) != nullptr && EndingOf(fleet, id)->is_answer) {
        ++keyed_answers;
      } else {
        ExpectRefusedNotRun(fleet, id);
      }
    }
    EXPECT_GT(keyed_answers, 0);
    fleet.store_faults.unreachable_from.clear();
    fleet.Run(kConfigTarget);
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, StoreLostAnswer) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 6, 3, 2);
    fleet.store_faults.lost_answers = 0.2;
    const TimePoint start = fleet.now();
    fleet.RunWithTraffic(seconds(4), 30);
    fleet.Run(kDrain);
    ExpectAllAnswered(fleet, start, IsAny);
    fleet.store_faults.lost_answers = 0;
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, DomainCut) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 6, 3, 2);
    const FailureDomainId cut("d2");
    const bool has_store = seed % 2 == 0;
    fleet.RunWithTraffic(seconds(1), 40);
    fleet.Cut(cut);
    if (!has_store) {
      fleet.store_faults.unreachable_from = {cut};
    }
    fleet.RunWithTraffic(seconds(3), 40);
    const TimePoint settled = fleet.now();
    ASSERT_TRUE(fleet.Publish(FleetObjects(9)));
    fleet.RunWithTraffic(seconds(12), 20);
    const auto keyed = SendKeyed(fleet, "cut");
    fleet.Run(kDrain);
    ExpectAllAnswered(fleet, settled, IsUnkeyed);
    for (size_t node = 0; node < keyed.size(); ++node) {
      if (fleet.DomainOf(static_cast<int>(node)) != cut || has_store) {
        ExpectAnswered(fleet, keyed[node]);
      } else {
        ExpectRefusedNotRun(fleet, keyed[node]);
      }
    }
    fleet.Heal();
    fleet.store_faults.unreachable_from.clear();
    fleet.Run(kConfigTarget);
    ExpectRevision(fleet, 2);
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, HostListStale) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 6, 3, 3);
    fleet.stale_list = HostList();
    for (const auto& [id, endpoint] : fleet.endpoints) {
      fleet.stale_list->endpoints.push_back(endpoint.record);
    }
    for (const FakeNode& node : fleet.nodes) {
      fleet.stale_list->nodes.push_back({node.settings.id,
                                         node.settings.peer_address,
                                         node.settings.failure_domain, false});
    }
    fleet.RunWithTraffic(seconds(3), 60);
    const TimePoint start = fleet.now();
    fleet.KillEndpoint(fleet.endpoints.at(EndpointId("encoders-d0-0")));
    fleet.RunWithTraffic(seconds(5), 60);
    fleet.Run(kDrain);
    ExpectAllAnswered(fleet, start, IsAny);
    fleet.stale_list.reset();
    fleet.Run(seconds(2));
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, HalfDomainDead) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 8, 2, 2);
    fleet.RunWithTraffic(seconds(1), 40);
    fleet.Kill(0);
    fleet.Kill(2);
    ASSERT_TRUE(fleet.Publish(FleetObjects(9)));
    const TimePoint start = fleet.now();
    fleet.RunWithTraffic(kConfigTarget, 40);
    ExpectRevision(fleet, 2);
    fleet.RunWithTraffic(seconds(9), 20);
    ASSERT_TRUE(fleet.Publish(FleetObjects(10)));
    fleet.Run(kUsualConfigTarget);
    ExpectRevision(fleet, 3);
    fleet.Run(kDrain);
    ExpectAllAnswered(fleet, start, IsUnkeyed);
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, PoolGone) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 6, 3, 2);
    fleet.RunWithTraffic(seconds(1), 40);
    for (auto& [id, endpoint] : fleet.endpoints) {
      if (endpoint.record.pool == PoolId("ledger")) {
        fleet.KillEndpoint(endpoint);
      }
    }
    const TimePoint start = fleet.now();
    fleet.RunWithTraffic(seconds(3), 40);
    fleet.Run(kDrain);
    ExpectAllAnswered(fleet, start, [](const SentRequest& request) {
      return request.kind != Kind::kPay;
    });
    for (const auto& [id, request] : fleet.requests) {
      // The claim and the encoder before it take their own time.
      constexpr Duration kBefore = milliseconds(30);
      if (request.at >= start && request.kind == Kind::kPay) {
        ASSERT_NE(EndingOf(fleet, id), nullptr);
        EXPECT_FALSE(EndingOf(fleet, id)->is_answer)
            << id.value() << " key " << request.key << " after "
            << std::chrono::duration<double>(request.at - start).count()
            << " s, runs " << fleet.RunsOf(id, PoolId("ledger"));
        if (request.key.empty()) {
          EXPECT_LE(EndingOf(fleet, id)->after, kBefore + kRefusalTarget);
        }
      }
    }
    for (auto& [id, endpoint] : fleet.endpoints) {
      endpoint.is_dead = false;
    }
    fleet.Run(kConfigTarget);
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, NodePaused) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 6, 3, 2);
    fleet.RunWithTraffic(seconds(1), 60);
    const TimePoint start = fleet.now();
    fleet.Pause(1);
    fleet.RunWithTraffic(seconds(30), 10);
    fleet.Resume(1);
    fleet.Run(kDrain);
    ExpectAllAnswered(fleet, start, [](const SentRequest& request) {
      return request.node != 1 && IsUnkeyed(request);
    });
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, EngineDiesMidStream) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 6, 3, 3);
    fleet.RunWithTraffic(seconds(3), 60);
    const TimePoint start = fleet.now();
    fleet.endpoints.at(EndpointId("engines-d0-0")).dies_at_token =
        1 + static_cast<int>(fleet.random.Below(kTokensOfAnswer - 1));
    fleet.RunWithTraffic(seconds(3), 60);
    fleet.Run(kDrain);
    ExpectAllAnswered(fleet, start, IsAny);
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, EndpointLeaving) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 6, 3, 2);
    const TimePoint start = fleet.now();
    fleet.RunWithTraffic(seconds(1), 100);
    for (const char* id : {"engines-d0-0", "ledger-d1-1", "encoders-d2-0"}) {
      FakeEndpoint& endpoint = fleet.endpoints.at(EndpointId(id));
      endpoint.record.is_leaving = seed % 2 == 0;
      endpoint.reports_leaving = seed % 2 == 1;
    }
    fleet.RunWithTraffic(seconds(6), 100);
    fleet.Run(kDrain);
    ExpectAllAnswered(fleet, start, IsAny);
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, RacingPublishers) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 6, 3, 2);
    PublicationRequest request;
    request.base = Revision(1);
    request.author = "operator";
    std::vector<Publication> racing;
    for (int i = 0; i < 2; ++i) {
      request.nonce = Nonce("nonce-" + std::to_string(i));
      racing.push_back(StartPublication(request, FleetObjects(20 + i), seed));
    }
    while (!racing[0].result || !racing[1].result) {
      Publication& next = racing[fleet.random.Below(2)];
      if (const auto call = NextPublicationCall(next, fleet.now())) {
        StoreAnswer answer = fleet.store.Execute(*call);
        if (fleet.random.Below(5) == 0) {
          answer = StoreAnswer();
          answer.status = StoreStatus::kUnknown;
        }
        ApplyPublicationAnswer(next, answer, fleet.now());
      }
      fleet.Run(milliseconds(5));
    }
    const int winner =
        racing[0].result->status == PublicationStatus::kPublished ? 0 : 1;
    EXPECT_EQ(racing[winner].result->status, PublicationStatus::kPublished);
    EXPECT_EQ(racing[1 - winner].result->status, PublicationStatus::kConflict);
    EXPECT_FALSE(racing[1 - winner].result->changes.empty());
    fleet.Run(kConfigTarget);
    ExpectRevision(fleet, 2);
    for (const FakeNode& node : fleet.nodes) {
      EXPECT_EQ(
          node.state->config.objects->pools.at(PoolId("ledger")).concurrency,
          20 + winner);
    }
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, StoreDownAndDomainCut) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 6, 3, 2);
    fleet.RunWithTraffic(seconds(1), 40);
    fleet.store_faults.is_down = true;
    fleet.store_faults.is_silent = seed % 2 == 0;
    fleet.Cut(FailureDomainId("d1"));
    fleet.RunWithTraffic(seconds(4), 40);
    const TimePoint settled = fleet.now();
    const auto keyed = SendKeyed(fleet, "down");
    fleet.RunWithTraffic(seconds(8), 20);
    fleet.Run(kDrain);
    for (const RequestId& id : keyed) {
      ExpectRefusedNotRun(fleet, id);
    }
    ExpectAllAnswered(fleet, settled, IsUnkeyed);
    fleet.store_faults.is_down = false;
    fleet.Heal();
    fleet.Run(kConfigTarget);
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, StoreDownAndNodeRestart) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 6, 3, 2);
    ASSERT_TRUE(fleet.Publish(FleetObjects(9)));
    fleet.Run(kConfigTarget);
    fleet.store_faults.is_down = true;
    fleet.store_faults.is_silent = seed % 2 == 0;
    fleet.RunWithTraffic(seconds(2), 40);
    const int restarted = static_cast<int>(fleet.random.Below(6));
    fleet.Restart(restarted);
    fleet.Run(kStartTarget);
    EXPECT_TRUE(IsReady(*fleet.nodes[restarted].state));
    ExpectRevision(fleet, 2);
    const RequestId chat = fleet.Send(restarted, Kind::kChat);
    fleet.Run(seconds(3));
    const RequestId keyed = fleet.Send(restarted, Kind::kPay, "restarted");
    fleet.Run(kDrain);
    ExpectAnswered(fleet, chat);
    ExpectRefusedNotRun(fleet, keyed);
    fleet.store_faults.is_down = false;
    fleet.Run(kConfigTarget);
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, LostAnswerAndHomeChange) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 6, 3, 2);
    fleet.store_faults.lost_answers = 0.5;
    fleet.RunWithTraffic(seconds(2), 60);
    fleet.Kill(static_cast<int>(fleet.random.Below(6)));
    fleet.RunWithTraffic(seconds(4), 40);
    fleet.store_faults.lost_answers = 0;
    fleet.Run(seconds(10));
    const auto keyed = SendKeyed(fleet, "after");
    fleet.Run(kDrain);
    for (const RequestId& id : keyed) {
      ExpectAnswered(fleet, id);
    }
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, NodePausedAndHomeChange) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 6, 3, 2);
    fleet.RunWithTraffic(seconds(2), 60);
    const int paused = static_cast<int>(fleet.random.Below(6));
    fleet.Pause(paused);
    fleet.RunWithTraffic(seconds(15), 20);
    fleet.Resume(paused);
    fleet.RunWithTraffic(seconds(2), 60);
    fleet.Run(kDrain);
    ExpectRecovered(fleet);
  });
}

TEST(FaultTable, PoolSlowAndBurst) {
  ForSeeds([](uint64_t seed) {
    FakeFleet fleet(seed, 4, 2, 2);
    fleet.RunWithTraffic(seconds(2), 40);
    for (auto& [id, endpoint] : fleet.endpoints) {
      if (endpoint.record.pool == PoolId("engines")) {
        endpoint.service_time = milliseconds(1500);
      }
    }
    const TimePoint start = fleet.now();
    fleet.RunWithTraffic(seconds(4), 300);
    fleet.Run(kDrain);
    for (const auto& [id, request] : fleet.requests) {
      const Ending* ending = EndingOf(fleet, id);
      ASSERT_NE(ending, nullptr);
      EXPECT_LE(ending->after, seconds(4));
      if (request.at >= start && !ending->is_answer &&
          ending->execution == Execution::kNotRun) {
        EXPECT_LE(ending->after, kRefusalTarget) << ToString(ending->reason);
      }
    }
    for (auto& [id, endpoint] : fleet.endpoints) {
      endpoint.service_time = milliseconds(20);
    }
    fleet.RunWithTraffic(seconds(10), 20);
    ExpectRecovered(fleet);
  });
}

}  // namespace
}  // namespace peridotmill
