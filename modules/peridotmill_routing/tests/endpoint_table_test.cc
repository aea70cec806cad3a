#include <gtest/gtest.h>

#include <set>

#include "peridotmill_routing/tests/routing_fixture.h"

namespace peridotmill::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const EndpointId kFirst = EndpointAt(0, 0);

// Returns the endpoints that are selected in 300 tries. No attempts are
// started.
std::set<EndpointId> SelectableEndpoints(EndpointTable& table, TimePoint now) {
  std::set<EndpointId> chosen;
  Random random(1);
  for (int i = 0; i < 300; ++i) {
    const EndpointChoice choice =
        ChooseEndpoint(table, {}, MakeRequest(), now, random);
    if (choice.endpoint) {
      chosen.insert(*choice.endpoint);
    }
  }
  return chosen;
}

// Ways in which a node learns that an endpoint is leaving.
enum class LeavingSource { kList, kReport, kPeer };

class LeavingTest : public ::testing::TestWithParam<LeavingSource> {};

// Guards against new work for a leaving endpoint, and against a stale host list
// or report that makes it usable again, even after its removal from the table.
TEST_P(LeavingTest, LeavingEndpointIsUnusableUntilItsNextIncarnation) {
  HostList list = MakeHostList(1, 3);
  const HostList stale = list;
  EndpointTable table = MakeTable("n", list);
  if (GetParam() == LeavingSource::kList) {
    list.endpoints[0].is_leaving = true;
    ApplyHostList(table, list, MakePools(8), kStart);
  } else if (GetParam() == LeavingSource::kReport) {
    ApplyLoadReport(
        table, {kFirst, Incarnation(), {.is_leaving = true}, kStart}, kStart);
  } else {
    ApplyLeaving(table, kFirst, Incarnation(1), kStart);
  }
  EXPECT_FALSE(SelectableEndpoints(table, kStart).contains(kFirst));
  ApplyHostList(table, stale, MakePools(8), kStart);
  ApplyLoadReport(table, {kFirst, Incarnation(), {}, kStart + seconds(1)},
                  kStart);
  EXPECT_FALSE(SelectableEndpoints(table, kStart).contains(kFirst));
  HostList without = stale;
  without.endpoints.erase(without.endpoints.begin());
  ApplyHostList(table, without, MakePools(8), kStart);
  EXPECT_EQ(FindEndpoint(table, kFirst), nullptr);
  ApplyHostList(table, stale, MakePools(8), kStart + seconds(5));
  EXPECT_FALSE(
      SelectableEndpoints(table, kStart + seconds(5)).contains(kFirst));
  HostList restarted = stale;
  restarted.endpoints[0].incarnation = Incarnation(2);
  ApplyHostList(table, restarted, MakePools(8), kStart + seconds(6));
  EXPECT_TRUE(SelectableEndpoints(table, kStart + seconds(6)).contains(kFirst));
}

INSTANTIATE_TEST_SUITE_P(Sources,
                         LeavingTest,
                         ::testing::Values(LeavingSource::kList,
                                           LeavingSource::kReport,
                                           LeavingSource::kPeer));

// Guards against removal of an endpoint that still has attempts in flight.
TEST(EndpointTableTest, RemovesUnlistedEndpointsWhenIdle) {
  EndpointTable table = MakeTable("n", MakeHostList(1, 3));
  const AttemptTicket ticket = BeginAttempt(table, kFirst, kStart);
  HostList without = MakeHostList(1, 3);
  without.endpoints.erase(without.endpoints.begin());
  ApplyHostList(table, without, MakePools(8), kStart);
  ASSERT_NE(FindEndpoint(table, kFirst), nullptr);
  EXPECT_FALSE(SelectableEndpoints(table, kStart).contains(kFirst));
  EndAttempt(table, ticket, AttemptOutcome::kCompleted, milliseconds(100),
             kStart);
  EXPECT_EQ(FindEndpoint(table, kFirst), nullptr);
  EXPECT_EQ(table.endpoints.size(), 2U);
}

// Guards against an attempt to the former process of an endpoint that changes
// the counts of the new one when it ends.
TEST(EndpointTableTest, AttemptsOfAnEarlierIncarnationDoNotCount) {
  HostList list = MakeHostList(1, 3);
  EndpointTable table = MakeTable("n", list);
  const AttemptTicket old_ticket = BeginAttempt(table, kFirst, kStart);
  list.endpoints[0].incarnation = Incarnation(2);
  ApplyHostList(table, list, MakePools(8), kStart);
  BeginAttempt(table, kFirst, kStart);
  EndAttempt(table, old_ticket, AttemptOutcome::kNotSent, milliseconds(100),
             kStart);
  EXPECT_EQ(FindEndpoint(table, kFirst)->in_flight, 1);
  EXPECT_EQ(FindEndpoint(table, kFirst)->consecutive_failures, 0);
}

// Guards against a late report that overwrites a newer one.
TEST(EndpointTableTest, OlderReportsAreIgnored) {
  EndpointTable table = MakeTable("n", MakeHostList(1, 3));
  ApplyLoadReport(table, {kFirst, {}, {.running = 5}, kStart + seconds(2)},
                  kStart + seconds(2));
  ApplyLoadReport(table, {kFirst, {}, {.running = 1}, kStart + seconds(1)},
                  kStart + seconds(2));
  EXPECT_EQ(FindEndpoint(table, kFirst)->reported_load, 5);
}

struct EjectionCase {
  const char* name;
  AttemptOutcome outcome;
  int failures;
};

class EjectionTest : public ::testing::TestWithParam<EjectionCase> {};

// Guards against endpoints that still get work after they have failed, and
// against more than one concurrent probe of whether they have recovered.
TEST_P(EjectionTest, EjectsThenProbesOnce) {
  EndpointTable table = MakeTable("n", MakeHostList(1, 6));
  // Gives the other endpoints more load than the probed one, so that its own
  // load cannot be why it is not selected.
  for (int i = 0; i < 10; ++i) {
    BeginAttempt(table, EndpointAt(0, 1 + i % 5), kStart);
  }
  for (int i = 0; i < GetParam().failures; ++i) {
    EXPECT_TRUE(IsUsable(*FindEndpoint(table, kFirst), kStart));
    FailOnce(table, kFirst, GetParam().outcome, kStart);
  }
  EXPECT_FALSE(SelectableEndpoints(table, kStart).contains(kFirst));
  const TimePoint later = kStart + seconds(2);
  EXPECT_TRUE(SelectableEndpoints(table, later).contains(kFirst));
  const AttemptTicket probe = BeginAttempt(table, kFirst, later);
  EXPECT_FALSE(SelectableEndpoints(table, later).contains(kFirst));
  EndAttempt(table, probe, GetParam().outcome, milliseconds(100), later);
  // The second ejection lasts twice as long.
  EXPECT_FALSE(
      SelectableEndpoints(table, later + milliseconds(1900)).contains(kFirst));
  const TimePoint much_later = later + milliseconds(2100);
  const AttemptTicket second = BeginAttempt(table, kFirst, much_later);
  EndAttempt(table, second, AttemptOutcome::kCompleted, milliseconds(100),
             much_later);
  BeginAttempt(table, kFirst, much_later);
  EXPECT_TRUE(SelectableEndpoints(table, much_later).contains(kFirst));
}

INSTANTIATE_TEST_SUITE_P(
    Outcomes,
    EjectionTest,
    ::testing::Values(EjectionCase{"NotSent", AttemptOutcome::kNotSent, 1},
                      EjectionCase{"Refused", AttemptOutcome::kRefused, 3},
                      EjectionCase{"Unknown", AttemptOutcome::kOutcomeUnknown,
                                   3},
                      EjectionCase{"Failed", AttemptOutcome::kFailed, 3},
                      EjectionCase{"Late", AttemptOutcome::kLate, 3}),
    [](const auto& info) { return info.param.name; });

// Guards against a failure with a common cause that ejects a whole pool.
TEST(EjectionLimitTest, AtMostAThirdIsEjected) {
  for (const int size : {1, 2, 3, 6, 10}) {
    EndpointTable table = MakeTable("n", MakeHostList(1, size));
    for (int i = 0; i < size; ++i) {
      FailOnce(table, EndpointAt(0, i), AttemptOutcome::kNotSent, kStart);
    }
    int ejected = 0;
    for (const EndpointView& view : table.endpoints) {
      ejected += view.ejected_until > kStart ? 1 : 0;
    }
    EXPECT_EQ(ejected, size / 3) << size;
    EXPECT_EQ(SelectableEndpoints(table, kStart).size(),
              static_cast<size_t>(size - ejected))
        << size;
  }
}

// Guards against work for failing endpoints that are not ejected because of the
// limit of a third, while healthy ones are left.
TEST(EjectionLimitTest, PrefersHealthyEndpoints) {
  EndpointTable table = MakeTable("n", MakeHostList(1, 3));
  FailOnce(table, EndpointAt(0, 0), AttemptOutcome::kNotSent, kStart);
  FailOnce(table, EndpointAt(0, 1), AttemptOutcome::kNotSent, kStart);
  EXPECT_EQ(SelectableEndpoints(table, kStart),
            std::set<EndpointId>{EndpointAt(0, 2)});
}

// Guards against probing an endpoint with a call that must not be retried.
TEST(EjectionTest, NonIdempotentCallsProbeOnlyAfterAReport) {
  EndpointTable table = MakeTable("n", MakeHostList(1, 1));
  HostList list = MakeHostList(1, 3);
  ApplyHostList(table, list, MakePools(8), kStart);
  FailOnce(table, kFirst, AttemptOutcome::kNotSent, kStart);
  const TimePoint later = kStart + seconds(2);
  Random random(1);
  EndpointChoiceRequest request = MakeRequest();
  request.is_idempotent = false;
  const auto is_probed = [&] {
    return ChooseEndpoint(table, {}, request, later, random).is_probe;
  };
  EXPECT_FALSE(is_probed());
  ApplyLoadReport(table, {kFirst, {}, {}, later}, later);
  EXPECT_TRUE(is_probed());
}

}  // namespace
}  // namespace peridotmill::testing
