#include <gtest/gtest.h>

#include "peridotmill_gateway/peers/node_registration.h"
#include "peridotmill_gateway/store/prefix_follower.h"
#include "peridotmill_gateway/store/registration_keeper.h"
#include "peridotmill_gateway/tests/fake_store_channel.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

class PrefixFollowerTest : public testing::Test {
 protected:
  PrefixFollowerTest()
      : timers_(clock_),
        recovery_(timers_, 1),
        follower_({.prefix = "p/"},
                  {.on_snapshot =
                       [this](const std::vector<StoreEntry>& entries,
                              bool was_unreachable) {
                         snapshots_.push_back(entries.size());
                         was_unreachable_ = was_unreachable;
                       },
                   .on_changes =
                       [this](const PrefixChanges& changes) {
                         changes_ += static_cast<int>(changes.changes.size());
                       }},
                  store_,
                  recovery_,
                  timers_,
                  events_) {
    follower_.Start();
  }

  ManualClock clock_;
  ManualTimerQueue timers_;
  FakeStoreChannel store_;
  RecordingEvents events_;
  std::vector<size_t> snapshots_;
  bool was_unreachable_ = false;
  int changes_ = 0;
  StoreRecovery recovery_;
  PrefixFollower follower_;
};

// Guards against keys beyond the first page, and changes made while later pages
// are read, being missed.
TEST_F(PrefixFollowerTest, ReadsAllPagesAndWatchesFromTheFirst) {
  store_.AnswerRead({"p/a", "p/b"}, 10, /*has_more=*/true);
  EXPECT_EQ(store_.last_after_key, "p/b");
  store_.AnswerRead({"p/c"}, 12);
  EXPECT_EQ(snapshots_, std::vector<size_t>{3});
  EXPECT_EQ(store_.watched_after, 10);
}

// Guards against a watch that is taken up again after a cut: the store may have
// dropped the changes in between and says nothing until the next one.
TEST_F(PrefixFollowerTest, ReadsAgainAfterAWatchThatWasCut) {
  store_.AnswerRead({"p/a"}, 10);
  store_.AnswerWatch(StoreChanges());
  timers_.Advance(100ms);
  EXPECT_EQ(store_.reads, 2);
  store_.AnswerRead({"p/a", "p/b"}, 20);
  EXPECT_EQ(snapshots_.back(), 2u);
  EXPECT_FALSE(was_unreachable_);
}

// Guards against history that is gone.
TEST_F(PrefixFollowerTest, ReadsAgainWhenTheHistoryIsGone) {
  store_.AnswerRead({"p/a"}, 10);
  StoreChanges gone;
  gone.status = StoreCallStatus::kHistoryGone;
  store_.AnswerWatch(gone);
  EXPECT_EQ(store_.reads, 2);
}

// Guards against treating what lapsed during an outage as gone at once, and
// against a flood of calls while the store is away.
TEST_F(PrefixFollowerTest, TellsAnOutageAndPacesItsCalls) {
  store_.AnswerRead({"p/a"}, 10);
  store_.AnswerWatch(StoreChanges());
  timers_.Advance(100ms);
  for (int i = 0; i < 60; ++i) {
    if (store_.on_page) {
      store_.FailRead();
    }
    timers_.Advance(100ms);
  }
  EXPECT_LE(store_.reads, 25);
  EXPECT_TRUE(events_.Has("store_lost"));
  while (!store_.on_page) {
    timers_.Advance(100ms);
  }
  store_.AnswerRead({}, 30);
  EXPECT_TRUE(was_unreachable_);
  EXPECT_TRUE(events_.Has("store_regained"));
}

// Guards against a call from each part of each node in every interval while the
// store is away: one tries, and the others follow when it succeeds.
TEST_F(PrefixFollowerTest, FollowersShareTheTriesOfAnOutage) {
  FakeStoreChannel others[2];
  std::vector<std::unique_ptr<PrefixFollower>> followers;
  for (FakeStoreChannel& store : others) {
    followers.push_back(std::make_unique<PrefixFollower>(
        PrefixFollowerSettings{.prefix = "o/"},
        PrefixFollowerEvents{
            .on_snapshot = [](const std::vector<StoreEntry>&, bool) {},
            .on_changes = [](const PrefixChanges&) {}},
        store, recovery_, timers_, events_));
    followers.back()->Start();
  }
  const auto fail_all = [&] {
    for (FakeStoreChannel* const store : {&store_, &others[0], &others[1]}) {
      if (store->on_page) {
        store->FailRead();
      }
    }
  };
  for (int i = 0; i < 60; ++i) {
    fail_all();
    timers_.Advance(100ms);
  }
  EXPECT_LE(store_.reads + others[0].reads + others[1].reads, 25);
  for (int i = 0; i < 10 && !store_.on_page; ++i) {
    fail_all();
    timers_.Advance(500ms);
  }
  ASSERT_TRUE(store_.on_page);
  store_.AnswerRead({"p/a"}, 5);
  EXPECT_TRUE(others[0].on_page);
  EXPECT_TRUE(others[1].on_page);
}

// Guards against a waiting watch that a silent store never answers.
TEST_F(PrefixFollowerTest, ReadsAgainOnRequestWhileWatching) {
  store_.AnswerRead({"p/a"}, 10);
  follower_.Reload();
  EXPECT_EQ(store_.reads, 2);
}

// Guards against a call to the store from each node for each of many changes
// that come together, as when a whole fleet starts.
TEST_F(PrefixFollowerTest, ChangesDuringThePauseShareOneWatch) {
  FakeStoreChannel store;
  int changes = 0;
  PrefixFollower follower(
      {.prefix = "p/", .pause = 400ms},
      {.on_snapshot = [](const std::vector<StoreEntry>&, bool) {},
       .on_changes =
           [&](const PrefixChanges& batch) {
             changes += static_cast<int>(batch.changes.size());
           }},
      store, recovery_, timers_, events_);
  follower.Start();
  store.AnswerRead({}, 10);
  for (int64_t round = 1; round <= 2; ++round) {
    StoreChanges answer;
    answer.status = StoreCallStatus::kOk;
    answer.changes.resize(3);
    answer.store_revision = 10 + round;
    store.AnswerWatch(answer);
    timers_.Advance(390ms);
    EXPECT_EQ(store.watches, round);
    timers_.Advance(20ms);
    EXPECT_EQ(store.watches, round + 1);
    EXPECT_EQ(store.watched_after, 10 + round);
  }
  EXPECT_EQ(changes, 6);
  // A wait that ran out without a change needs no pause.
  StoreChanges none;
  none.status = StoreCallStatus::kOk;
  store.AnswerWatch(none);
  EXPECT_EQ(store.watches, 4);
}

class RegistrationKeeperTest : public testing::Test {
 protected:
  RegistrationKeeperTest()
      : timers_(clock_),
        keeper_(registry_, timers_, events_, [this] { ++read_again_; }) {}

  size_t Serving() { return registry_.Serving(PoolId("p")).size(); }

  ManualClock clock_;
  ManualTimerQueue timers_;
  RecordingEvents events_;
  EndpointRegistry registry_;
  int read_again_ = 0;
  RegistrationKeeper keeper_;
};

// Guards against dropping endpoints whose registrations lapsed while the store
// was away, and against keeping those that do not come back.
TEST_F(RegistrationKeeperTest, KeepsLapsedRegistrationsForAGraceTime) {
  keeper_.Replace(
      {MakeRegistration("a", "p", "d"), MakeRegistration("b", "p", "d")},
      false);
  keeper_.Replace({MakeRegistration("a", "p", "d")}, true);
  EXPECT_EQ(Serving(), 2u);
  timers_.Advance(2500ms);
  EXPECT_EQ(read_again_, 1);
  keeper_.Replace({MakeRegistration("a", "p", "d")}, false);
  EXPECT_EQ(Serving(), 1u);
}

// Guards against new work for an endpoint that is gone while the store is well.
TEST_F(RegistrationKeeperTest, DropsMissingRegistrationsAtOnceOtherwise) {
  keeper_.Replace({MakeRegistration("a", "p", "d")}, false);
  keeper_.Replace({}, false);
  EXPECT_EQ(Serving(), 0u);
}

// Guards against a node that the others forget, and one that does not notice a
// silent store.
TEST(NodeRegistrationTest, KeepsItsLeaseAndTellsOfASilentStore) {
  ManualClock clock;
  ManualTimerQueue timers(clock);
  FakeStoreChannel store;
  RecordingEvents events;
  int silent = 0;
  int answers = 0;
  NodeRegistration registration(
      NodeId("n1"), {"10.0.0.1:7", FailureDomainId("d")}, store, timers, events,
      {.on_answer = [&] { ++answers; },
       .on_silence = [&] { ++silent; },
       .is_watching = [] { return true; }});
  registration.Start();
  store.on_lease({StoreCallStatus::kOk, 9, 6s});
  ASSERT_EQ(store.puts.size(), 1u);
  EXPECT_EQ(store.puts[0].lease, 9);
  store.on_put(StoreCallStatus::kOk);
  timers.Advance(1300ms);
  EXPECT_EQ(store.keeps, 1);
  store.on_keep({StoreCallStatus::kUnknown, 0, 0s});
  EXPECT_EQ(silent, 1);
  EXPECT_EQ(answers, 0);
  timers.Advance(800ms);
  store.on_keep({StoreCallStatus::kRefused, 0, 0s});
  EXPECT_EQ(silent, 1);
  timers.Advance(800ms);
  store.on_keep({StoreCallStatus::kConflict, 0, 0s});
  EXPECT_EQ(store.grants, 2);
  registration.Stop();
  EXPECT_EQ(store.ended_leases, 1);
}

}  // namespace
}  // namespace peridotmill
