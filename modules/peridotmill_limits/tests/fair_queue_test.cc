#include <gtest/gtest.h>

#include <map>
#include <string>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_limits/peridotmill_limits.h"

namespace peridotmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

QueuedWork MakeWork(const std::string& team, int32_t level = 1) {
  QueuedWork work;
  work.team = TeamId(team);
  work.level = level;
  work.cost = milliseconds(100);
  work.latest_start = kStart + seconds(60);
  return work;
}

// Empties the queue and returns its teams in the order of service.
std::string ServiceOrder(FairQueue& queue, TimePoint now) {
  std::string order;
  while (const std::optional<QueuedItem> item = PopNext(queue, now)) {
    order += item->work.team.value();
  }
  return order;
}

// Guards against a big team whose queued work delays many small teams.
TEST(FairQueueTest, SmallTeamsAreNotDelayedByABigTeam) {
  FairQueue queue = MakeFairQueue(1000);
  for (int i = 0; i < 200; ++i) {
    Enqueue(queue, MakeWork("big"), kStart);
  }
  for (int i = 0; i < 50; ++i) {
    Enqueue(queue, MakeWork("small" + std::to_string(i)), kStart);
  }
  // With equal shares, the big team is served once per round of all teams.
  int big = 0;
  int small = 0;
  while (small < 50) {
    const std::optional<QueuedItem> item = PopNext(queue, kStart);
    ASSERT_TRUE(item);
    (item->work.team == TeamId("big") ? big : small) += 1;
  }
  EXPECT_LE(big, 2);
}

// Guards against team shares that have no effect on the order of service.
TEST(FairQueueTest, ServesInProportionToShares) {
  FairQueue queue = MakeFairQueue(1000);
  for (int i = 0; i < 90; ++i) {
    QueuedWork work = MakeWork("a");
    work.share = 2;
    Enqueue(queue, work, kStart);
    Enqueue(queue, MakeWork("b"), kStart);
  }
  int a = 0;
  for (int i = 0; i < 90; ++i) {
    a += PopNext(queue, kStart)->work.team == TeamId("a") ? 1 : 0;
  }
  EXPECT_NEAR(a, 60, 2);
}

// Guards against a service order other than by priority, then teams within
// their share before teams over it.
TEST(FairQueueTest, ServesByPriorityThenTeamsWithinTheirShare) {
  FairQueue queue = MakeFairQueue(10);
  Enqueue(queue, MakeWork("d", 2), kStart);
  QueuedWork over_share = MakeWork("c", 1);
  over_share.is_over_share = true;
  Enqueue(queue, over_share, kStart);
  Enqueue(queue, MakeWork("b", 1), kStart);
  Enqueue(queue, MakeWork("a", 0), kStart);
  EXPECT_EQ(ServiceOrder(queue, kStart), "abcd");
}

class StarvationTest : public ::testing::TestWithParam<int> {};
INSTANTIATE_TEST_SUITE_P(Seeds, StarvationTest, ::testing::Range(1, 11));

// Guards against low-priority work that is never served because high-priority
// work alone arrives faster than the pool serves it.
TEST_P(StarvationTest, LowPriorityIsServedAfterAgeing) {
  Random random(static_cast<uint64_t>(GetParam()));
  FairQueue queue = MakeFairQueue(10000);
  for (int i = 0; i < 20; ++i) {
    QueuedWork work = MakeWork("low", 3);
    work.is_over_share = random.Below(2) == 0;
    Enqueue(queue, work, kStart);
  }
  Duration first_low{};
  int low = 0;
  for (int step = 0; step < 100; ++step) {
    // Two arrivals, from ten teams, for each entry served.
    const TimePoint now = kStart + milliseconds(100) * step;
    for (int i = 0; i < 2; ++i) {
      Enqueue(queue, MakeWork("high" + std::to_string(random.Below(10)), 0),
              now);
    }
    const std::optional<QueuedItem> item = PopNext(queue, now);
    if (item->work.team == TeamId("low")) {
      first_low = low == 0 ? now - kStart : first_low;
      ++low;
    }
  }
  // Level 3 ages to level 0 in 3 s, or in 3.5 s if the team is over its share.
  // From then on, the team is served in turn with ten others.
  EXPECT_GT(low, 0);
  EXPECT_LE(first_low, milliseconds(3500 + 11 * 100));
}

struct DisplacementCase {
  const char* name;
  int32_t level;
  const char* team;
  bool is_queued;
};

class DisplacementTest : public ::testing::TestWithParam<DisplacementCase> {};

// Guards against a full queue of low-priority work that rejects high-priority
// work, and against a single team that occupies the whole queue.
TEST_P(DisplacementTest, DisplacesTheWorkThatWouldBeServedLast) {
  FairQueue queue = MakeFairQueue(4);
  QueueTicket newest;
  for (int i = 0; i < 4; ++i) {
    newest = *Enqueue(queue, MakeWork("a", 1), kStart).ticket;
  }
  const EnqueueResult result =
      Enqueue(queue, MakeWork(GetParam().team, GetParam().level), kStart);
  EXPECT_EQ(result.ticket.has_value(), GetParam().is_queued);
  EXPECT_EQ(result.displaced.has_value(), GetParam().is_queued);
  if (result.displaced) {
    EXPECT_EQ(result.displaced->ticket, newest);
  }
  EXPECT_EQ(QueueSize(queue), 4U);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    DisplacementTest,
    ::testing::Values(DisplacementCase{"HigherPriority", 0, "a", true},
                      DisplacementCase{"OtherTeam", 1, "b", true},
                      DisplacementCase{"SameTeam", 1, "a", false},
                      DisplacementCase{"LowerPriority", 2, "b", false}),
    [](const auto& info) { return info.param.name; });

// Guards against serving work that can no longer meet its deadline.
TEST(FairQueueTest, TakeExpiredRemovesWorkPastItsLatestStart) {
  FairQueue queue = MakeFairQueue(10);
  QueuedWork urgent = MakeWork("a");
  urgent.latest_start = kStart + milliseconds(50);
  Enqueue(queue, urgent, kStart);
  Enqueue(queue, MakeWork("b"), kStart);
  EXPECT_TRUE(TakeExpired(queue, kStart + milliseconds(50)).empty());
  EXPECT_EQ(TakeExpired(queue, *NextExpiry(queue)).size(), 1U);
  EXPECT_EQ(ServiceOrder(queue, kStart), "b");
}

class QueueStateTest : public ::testing::TestWithParam<int> {};
INSTANTIATE_TEST_SUITE_P(Seeds, QueueStateTest, ::testing::Range(1, 11));

// Guards against team state that outlives the queued work, and against indexes
// that disagree after a random sequence of operations.
TEST_P(QueueStateTest, IndexesAgreeAndIdleTeamsHoldNoState) {
  Random random(static_cast<uint64_t>(GetParam()));
  FairQueue queue = MakeFairQueue(50);
  std::vector<QueueTicket> tickets;
  for (int i = 0; i < 3000; ++i) {
    const TimePoint now = kStart + milliseconds(10) * i;
    const uint64_t operation = random.Below(10);
    if (operation < 6) {
      QueuedWork work = MakeWork("t" + std::to_string(random.Below(1000)),
                                 static_cast<int32_t>(random.Below(4)));
      work.latest_start = now + milliseconds(random.Below(2000));
      const EnqueueResult result = Enqueue(queue, work, now);
      if (result.ticket) {
        tickets.push_back(*result.ticket);
      }
    } else if (operation < 8) {
      PopNext(queue, now);
    } else if (operation == 8 && !tickets.empty()) {
      RemoveQueued(queue, tickets[random.Below(tickets.size())]);
    } else {
      TakeExpired(queue, now);
    }
    size_t ranked = 0;
    for (const QueueRank& rank : queue.ranks) {
      ranked += rank.order.size();
    }
    ASSERT_EQ(ranked, queue.entries.size());
    ASSERT_EQ(queue.by_latest_start.size(), queue.entries.size());
    ASSERT_LE(queue.teams.size(), queue.entries.size());
    ASSERT_LE(queue.entries.size(), 50U);
  }
  ServiceOrder(queue, kStart + seconds(60));
  EXPECT_TRUE(queue.teams.empty());
  EXPECT_TRUE(queue.by_promotion.empty());
}

struct AdmissionCase {
  const char* name;
  int queued;
  int32_t slots;
  int32_t slots_in_use;
  int64_t time_left_ms;
  bool is_over_share;
  std::optional<Reason> refusal;
};

class AdmissionTest : public ::testing::TestWithParam<AdmissionCase> {};

// Guards against admission of work that will miss its deadline, refusal of work
// that would meet it, and a wrong reason. Each queued entry belongs to a team
// of its own and costs 100 ms; the stage itself takes 100 ms.
TEST_P(AdmissionTest, AdmitsByPredictedFinish) {
  FairQueue queue = MakeFairQueue(20);
  for (int i = 0; i < GetParam().queued; ++i) {
    Enqueue(queue, MakeWork("t" + std::to_string(i)), kStart);
  }
  AdmissionRequest request;
  request.work = MakeWork("mine");
  request.work.is_over_share = GetParam().is_over_share;
  request.slots = GetParam().slots;
  request.slots_in_use = GetParam().slots_in_use;
  request.remaining = milliseconds(100);
  request.time_left = milliseconds(GetParam().time_left_ms);
  EXPECT_EQ(DecideAdmission(queue, request, kStart).refusal,
            GetParam().refusal);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    AdmissionTest,
    ::testing::Values(
        AdmissionCase{"Idle", 0, 2, 0, 100, false, std::nullopt},
        AdmissionCase{"IdleTooLate", 0, 2, 0, 99, false,
                      Reason::kDeadlineUnreachable},
        AdmissionCase{"Busy", 0, 2, 2, 149, false,
                      Reason::kDeadlineUnreachable},
        AdmissionCase{"BusyInTime", 0, 2, 2, 151, false, std::nullopt},
        AdmissionCase{"Queued", 10, 2, 2, 600, false,
                      Reason::kDeadlineUnreachable},
        AdmissionCase{"QueuedInTime", 10, 2, 2, 700, false, std::nullopt},
        AdmissionCase{"Full", 20, 2, 2, 5000, false, Reason::kQueueFull},
        AdmissionCase{"NoSlots", 0, 0, 0, 5000, false, Reason::kNoEndpoint}),
    [](const auto& info) { return info.param.name; });

// Guards against a refusal whose reason is the pool's state although the team's
// own use is the cause.
TEST(AdmissionReasonTest, TeamOverItsShareGetsTeamShareExceeded) {
  FairQueue queue = MakeFairQueue(2);
  QueuedWork other = MakeWork("other");
  other.is_over_share = true;
  Enqueue(queue, other, kStart);
  Enqueue(queue, other, kStart);
  AdmissionRequest request;
  request.work = MakeWork("other");
  request.work.is_over_share = true;
  request.slots = 1;
  request.slots_in_use = 1;
  request.time_left = seconds(10);
  EXPECT_EQ(DecideAdmission(queue, request, kStart).refusal,
            Reason::kTeamShareExceeded);
  request.work = MakeWork("mine");
  EXPECT_EQ(DecideAdmission(queue, request, kStart).refusal, std::nullopt);
}

// Guards against refusal of a small team because of a big team's queued work,
// which would be served after the small team's.
TEST(AdmissionReasonTest, BigTeamsQueueDoesNotCauseRefusalOfSmallTeams) {
  FairQueue queue = MakeFairQueue(256);
  for (int i = 0; i < 200; ++i) {
    Enqueue(queue, MakeWork("big"), kStart);
  }
  AdmissionRequest request;
  request.work = MakeWork("small");
  request.slots = 1;
  request.slots_in_use = 1;
  request.remaining = milliseconds(100);
  request.time_left = milliseconds(1000);
  EXPECT_EQ(DecideAdmission(queue, request, kStart).refusal, std::nullopt);
  request.work = MakeWork("big");
  EXPECT_EQ(DecideAdmission(queue, request, kStart).refusal,
            Reason::kDeadlineUnreachable);
}

}  // namespace
}  // namespace peridotmill
