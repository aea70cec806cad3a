#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>

#include "peridotmill_routing/tests/routing_fixture.h"

namespace peridotmill::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SeededChoiceTest : public ::testing::TestWithParam<int> {};
INSTANTIATE_TEST_SUITE_P(Seeds,
                         SeededChoiceTest,
                         ::testing::Range(1, kSeeds + 1));

// Returns the calls in flight at the busiest endpoint, averaged over rounds,
// when 20 nodes share 20 endpoints, calls take five rounds and reports arrive
// every ten rounds. An even distribution gives 5.
double PeakLoad(RoutingPolicy policy, bool has_reports, int seed) {
  const HostList list = MakeHostList(1, 20);
  std::vector<EndpointTable> nodes;
  nodes.reserve(20);
  for (int i = 0; i < 20; ++i) {
    nodes.push_back(MakeTable("n" + std::to_string(i), list, 100));
  }
  Random random(static_cast<uint64_t>(seed));
  EndpointChoiceRequest request = MakeRequest();
  request.policy = policy;
  request.expected = milliseconds(500);
  std::map<EndpointId, int> load;
  std::deque<std::vector<AttemptTicket>> open_attempts;
  double sum = 0;
  constexpr int kRounds = 100;
  for (int round = 0; round < kRounds; ++round) {
    const TimePoint now = kStart + milliseconds(100) * round;
    for (EndpointTable& node : nodes) {
      for (const EndpointView& view : nodes[0].endpoints) {
        if (has_reports && round % 10 == 0) {
          ApplyLoadReport(node, {view.id, {}, {.running = load[view.id]}, now},
                          now);
        }
      }
    }
    if (open_attempts.size() == 5) {
      for (size_t i = 0; i < nodes.size(); ++i) {
        --load[open_attempts.front()[i].endpoint];
        EndAttempt(nodes[i], open_attempts.front()[i],
                   AttemptOutcome::kCompleted, milliseconds(500), now);
      }
      open_attempts.pop_front();
    }
    std::vector<AttemptTicket>& started = open_attempts.emplace_back();
    int peak = 0;
    for (EndpointTable& node : nodes) {
      const EndpointChoice choice =
          ChooseEndpoint(node, {}, request, now, random);
      started.push_back(BeginAttempt(node, *choice.endpoint, now));
      ++load[*choice.endpoint];
    }
    for (const auto& [endpoint, calls] : load) {
      peak = std::max(peak, calls);
    }
    sum += static_cast<double>(peak) / kRounds;
  }
  return sum;
}

// Guards against herding: all nodes select the same endpoint from the same
// stale reports. Reports older than the calls they count must not distribute
// work worse than no reports do, with a tolerance of a quarter for randomness.
TEST_P(SeededChoiceTest, StaleReportsDoNotCauseHerding) {
  const double chosen = PeakLoad(RoutingPolicy::kDefault, true, GetParam());
  const double unreported =
      PeakLoad(RoutingPolicy::kDefault, false, GetParam());
  const double least_load =
      PeakLoad(RoutingPolicy::kLeastLoad, true, GetParam());
  EXPECT_LE(chosen, 1.25 * unreported);
  EXPECT_GT(least_load, chosen);
  RecordProperty("default", std::to_string(chosen));
  RecordProperty("no_reports", std::to_string(unreported));
  RecordProperty("least_load", std::to_string(least_load));
}

// Guards against a slow endpoint that still gets an even part of the work.
TEST_P(SeededChoiceTest, SlowEndpointGetsFewerCalls) {
  EndpointTable table = MakeTable("n", MakeHostList(1, 10));
  Random random(static_cast<uint64_t>(GetParam()));
  std::multimap<TimePoint, AttemptTicket> open_attempts;
  const EndpointId slow = EndpointAt(0, 0);
  int slow_calls = 0;
  for (int i = 0; i < 2000; ++i) {
    const TimePoint now = kStart + milliseconds(10) * i;
    while (!open_attempts.empty() && open_attempts.begin()->first <= now) {
      EndAttempt(table, open_attempts.begin()->second,
                 AttemptOutcome::kCompleted, milliseconds(100),
                 open_attempts.begin()->first);
      open_attempts.erase(open_attempts.begin());
    }
    const EndpointChoice choice =
        ChooseEndpoint(table, {}, MakeRequest(), now, random);
    ASSERT_TRUE(choice.endpoint);
    const bool is_slow = *choice.endpoint == slow;
    slow_calls += is_slow && i >= 1000 ? 1 : 0;
    open_attempts.emplace(now + milliseconds(is_slow ? 600 : 100),
                          BeginAttempt(table, *choice.endpoint, now));
  }
  // An even distribution would give it 100 of the last 1000 calls.
  EXPECT_LT(slow_calls, 30);
}

// Guards against work of a lost domain that all goes to one other domain.
TEST_P(SeededChoiceTest, WorkOfALostDomainIsSpreadOverOtherDomains) {
  HostList list = MakeHostList(4, 20);
  std::erase_if(list.endpoints, [](const EndpointRecord& record) {
    return record.failure_domain == DomainAt(0);
  });
  Random random(static_cast<uint64_t>(GetParam()));
  std::map<FailureDomainId, int> by_domain;
  std::map<EndpointId, int> by_endpoint;
  for (int n = 0; n < 21; ++n) {
    EndpointTable table = MakeTable(
        std::to_string(GetParam()) + "/" + std::to_string(n), list, 100);
    for (int i = 0; i < 40; ++i) {
      const EndpointChoice choice =
          ChooseEndpoint(table, {}, MakeRequest(), kStart, random);
      ASSERT_TRUE(choice.endpoint);
      EXPECT_TRUE(choice.is_in_other_domain);
      const AttemptTicket ticket =
          BeginAttempt(table, *choice.endpoint, kStart);
      ++by_domain[FindEndpoint(table, ticket.endpoint)->failure_domain];
      ++by_endpoint[ticket.endpoint];
    }
  }
  // An even distribution of 840 calls gives 280 per domain, 14 per endpoint.
  for (const auto& [domain, calls] : by_domain) {
    EXPECT_NEAR(calls, 280, 140) << domain.value();
  }
  for (const auto& [endpoint, calls] : by_endpoint) {
    EXPECT_LE(calls, 4 * 14) << endpoint.value();
  }
}

// Guards against queueing for a pool without a usable endpoint, against refusal
// of work that only has to wait, and against early spill-over at a low
// attainment weight.
TEST(EndpointChoiceTest, DistinguishesSaturatedFromUnusablePools) {
  EndpointTable table = MakeTable("n", MakeHostList(2, 1), 1);
  Random random(1);
  EndpointChoiceRequest request = MakeRequest();
  request.attainment_weight = 0.2;
  BeginAttempt(table, EndpointAt(0, 0), kStart);
  EndpointChoice choice = ChooseEndpoint(table, {}, request, kStart, random);
  EXPECT_EQ(choice.outcome, EndpointChoiceOutcome::kSaturated);
  EXPECT_EQ(choice.spill_over_after, milliseconds(80));
  request.waited = milliseconds(80);
  choice = ChooseEndpoint(table, {}, request, kStart, random);
  EXPECT_EQ(choice.endpoint, EndpointAt(1, 0));
  BeginAttempt(table, EndpointAt(1, 0), kStart);
  choice = ChooseEndpoint(table, {}, request, kStart, random);
  EXPECT_EQ(choice.outcome, EndpointChoiceOutcome::kSaturated);
  EXPECT_FALSE(choice.spill_over_after);
  request.policy = RoutingPolicy::kNoAdmission;
  choice = ChooseEndpoint(table, {}, request, kStart, random);
  EXPECT_EQ(choice.endpoint, EndpointAt(0, 0));
  request.policy = RoutingPolicy::kDefault;
  request.excluded = {EndpointAt(0, 0), EndpointAt(1, 0)};
  choice = ChooseEndpoint(table, {}, request, kStart, random);
  EXPECT_EQ(choice.outcome, EndpointChoiceOutcome::kNoUsableEndpoint);
}

// Guards against waiting for an endpoint of the own domain to load a model that
// an endpoint of another domain has loaded already.
TEST(EndpointChoiceTest, PrefersOtherDomainWithLoadedModel) {
  EndpointTable table = MakeTable("n", MakeHostList(2, 1));
  Random random(1);
  EndpointChoiceRequest request = MakeRequest();
  request.model = "m@2";
  ApplyLoadReport(table, {EndpointAt(0, 0), {}, {}, kStart}, kStart);
  ApplyLoadReport(table,
                  {EndpointAt(1, 0), {}, {.loaded_models = {"m@2"}}, kStart},
                  kStart);
  EXPECT_EQ(ChooseEndpoint(table, {}, request, kStart, random).endpoint,
            EndpointAt(1, 0));
  request.model = "";
  EXPECT_EQ(ChooseEndpoint(table, {}, request, kStart, random).endpoint,
            EndpointAt(0, 0));
}

// Guards against ignoring cached prefixes and loaded models, and against a
// prefix hint that sends work to an overloaded endpoint.
TEST(EndpointChoiceTest, PrefersCachedPrefixesAndLoadedModels) {
  EndpointTable table = MakeTable("n", MakeHostList(1, 30));
  PrefixIndex prefixes;
  Random random(1);
  EndpointChoiceRequest request = MakeRequest();
  request.prefix_hash = 7;
  RecordPrefix(prefixes, EndpointAt(0, 9), 7, kStart);
  const auto chosen = [&] {
    return *ChooseEndpoint(table, prefixes, request, kStart, random).endpoint;
  };
  EXPECT_EQ(chosen(), EndpointAt(0, 9));
  for (int i = 0; i < 7; ++i) {
    BeginAttempt(table, EndpointAt(0, 9), kStart);
  }
  EXPECT_NE(chosen(), EndpointAt(0, 9));
  request.prefix_hash = 0;
  request.model = "m@2";
  for (int i = 0; i < 30; ++i) {
    const std::string model = i < 28 ? "m@2" : "m@1";
    ApplyLoadReport(table,
                    {EndpointAt(0, i), {}, {.loaded_models = {model}}, kStart},
                    kStart);
  }
  for (int i = 0; i < 100; ++i) {
    const EndpointId endpoint = chosen();
    EXPECT_NE(endpoint, EndpointAt(0, 28));
    EXPECT_NE(endpoint, EndpointAt(0, 29));
  }
}

struct PrefixCase {
  const char* name;
  std::vector<CacheEvent> events;
  Duration age;
  bool is_hinted;
};

class PrefixIndexTest : public ::testing::TestWithParam<PrefixCase> {};

// Guards against hints that stay valid after an eviction, a gap in the events
// or their expiry, and against late events that restore an evicted prefix.
TEST_P(PrefixIndexTest, ReturnsOnlyValidHints) {
  PrefixIndex index;
  ApplyCacheEvents(index, EndpointAt(0, 0), GetParam().events, kStart);
  EXPECT_EQ(EndpointsWithPrefix(index, 7, kStart + GetParam().age).size() == 1,
            GetParam().is_hinted);
}

INSTANTIATE_TEST_SUITE_P(
    Events,
    PrefixIndexTest,
    ::testing::Values(
        PrefixCase{"Live", {{5, 7}, {6, 8}}, seconds(29), true},
        PrefixCase{"Expired", {{5, 7}}, seconds(31), false},
        PrefixCase{"Evicted", {{5, 7}, {6, 7, true}}, {}, false},
        PrefixCase{"Gap", {{5, 7}, {7, 8}}, {}, false},
        PrefixCase{"AfterGap", {{5, 8}, {7, 7}}, {}, true},
        PrefixCase{"Late", {{5, 7}, {6, 7, true}, {5, 7}}, {}, false}),
    [](const auto& info) { return info.param.name; });

// Guards against an index that grows with the number of recorded prefixes.
TEST(PrefixIndexBoundTest, StaysBoundedAndKeepsTheNewest) {
  PrefixIndex index;
  for (uint64_t i = 1; i <= 3 * kMaxPrefixes; ++i) {
    RecordPrefix(index, EndpointAt(0, static_cast<int>(i % 9)), i, kStart);
  }
  EXPECT_LE(index.hints.size(), kMaxPrefixes);
  EXPECT_LE(index.insertion_order.size(), kMaxPrefixes);
  EXPECT_EQ(EndpointsWithPrefix(index, 3 * kMaxPrefixes, kStart).size(), 1U);
}

}  // namespace
}  // namespace peridotmill::testing
