#include <gtest/gtest.h>

#include "peridotmill_gateway/peers/node_registration.h"
#include "peridotmill_gateway/store/prefix_watcher.h"
#include "peridotmill_gateway/store/registration_reconciler.h"
#include "peridotmill_gateway/store/store_position.h"
#include "peridotmill_gateway/tests/fake_store_channel.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

class PrefixWatcherTest : public testing::Test {
 protected:
  PrefixWatcherTest()
      : timers_(clock_),
        retry_queue_(timers_, 1),
        watcher_({.prefix = "p/"},
                 {.on_snapshot =
                      [this](const std::vector<StoreEntry>& entries,
                             bool was_unreachable) {
                        snapshots_.push_back(entries.size());
                        was_unreachable_ = was_unreachable;
                      },
                  .on_changes =
                      [this](const PrefixChanges& changes) {
                        change_count_ +=
                            static_cast<int>(changes.changes.size());
                      }},
                 store_,
                 retry_queue_,
                 timers_,
                 events_) {
    watcher_.Start();
  }

  ManualClock clock_;
  ManualTimerQueue timers_;
  FakeStoreChannel store_;
  RecordingEvents events_;
  std::vector<size_t> snapshots_;
  bool was_unreachable_ = false;
  int change_count_ = 0;
  StoreRetryQueue retry_queue_;
  PrefixWatcher watcher_;
};

// Guards against missing the keys beyond the first page, and the changes made
// while later pages are read.
TEST_F(PrefixWatcherTest, ReadsAllPagesAndWatchesFromTheFirst) {
  store_.AnswerRead({"p/a", "p/b"}, 10, /*has_more=*/true);
  EXPECT_EQ(store_.last_after_key, "p/b");
  store_.AnswerRead({"p/c"}, 12);
  EXPECT_EQ(snapshots_, std::vector<size_t>{3});
  EXPECT_EQ(store_.watched_after_revision, 10);
}

// Guards against a watch that goes on from a revision which a restored store
// has given out again, and against removing at once what is missing in its
// copy.
TEST_F(PrefixWatcherTest, ReadsAgainFromARestoredStore) {
  store_.AnswerRead({"p/a", "p/b"}, MakeStorePosition(1, 20));
  StoreChanges answer;
  answer.status = StoreCallStatus::kOk;
  answer.changes.resize(1);
  answer.store_revision = MakeStorePosition(2, 25);
  store_.AnswerWatch(answer);
  EXPECT_EQ(change_count_, 0);
  EXPECT_EQ(store_.read_calls, 2);
  store_.AnswerRead({"p/a"}, MakeStorePosition(2, 25));
  EXPECT_TRUE(was_unreachable_);
  EXPECT_TRUE(events_.Has("store_restored prefix=p/ era=2 earlier_era=1"));
  EXPECT_EQ(store_.watched_after_revision, MakeStorePosition(2, 25));
}

// Guards against entries of two eras in one snapshot.
TEST_F(PrefixWatcherTest, ReadsAllPagesFromOneEra) {
  store_.AnswerRead({"p/a"}, MakeStorePosition(1, 20), /*has_more=*/true);
  store_.AnswerRead({"p/c"}, MakeStorePosition(2, 18));
  EXPECT_TRUE(snapshots_.empty());
  EXPECT_EQ(store_.last_after_key, "");
  store_.AnswerRead({"p/a", "p/b"}, MakeStorePosition(2, 18));
  EXPECT_EQ(snapshots_, std::vector<size_t>{2});
  EXPECT_TRUE(was_unreachable_);
}

// Guards against resuming a failed watch: the store may have compacted the
// changes in between and does not report that until the next change.
TEST_F(PrefixWatcherTest, ReadsAgainAfterAFailedWatch) {
  store_.AnswerRead({"p/a"}, 10);
  store_.AnswerWatch(StoreChanges());
  timers_.Advance(100ms);
  EXPECT_EQ(store_.read_calls, 2);
  store_.AnswerRead({"p/a", "p/b"}, 20);
  EXPECT_EQ(snapshots_.back(), 2u);
  EXPECT_FALSE(was_unreachable_);
}

// Guards against lost changes when a watch starts at a compacted revision.
TEST_F(PrefixWatcherTest, ReadsAgainAfterCompaction) {
  store_.AnswerRead({"p/a"}, 10);
  StoreChanges gone;
  gone.status = StoreCallStatus::kCompacted;
  store_.AnswerWatch(gone);
  EXPECT_EQ(store_.read_calls, 2);
}

// Guards against removing entries at once whose leases expired during an
// outage, and against retries without backoff while the store is unavailable.
TEST_F(PrefixWatcherTest, ReportsAnOutageAndBacksOff) {
  store_.AnswerRead({"p/a"}, 10);
  store_.AnswerWatch(StoreChanges());
  timers_.Advance(100ms);
  for (int i = 0; i < 60; ++i) {
    if (store_.on_page) {
      store_.FailRead();
    }
    timers_.Advance(100ms);
  }
  EXPECT_LE(store_.read_calls, 25);
  EXPECT_TRUE(events_.Has("store_lost"));
  while (!store_.on_page) {
    timers_.Advance(100ms);
  }
  store_.AnswerRead({}, 30);
  EXPECT_TRUE(was_unreachable_);
  EXPECT_TRUE(events_.Has("store_regained"));
}

// Guards against separate retries by each component of a node while the store
// is unavailable: one retries, and the others follow when it succeeds.
TEST_F(PrefixWatcherTest, WatchersShareTheRetriesOfAnOutage) {
  FakeStoreChannel other_stores[2];
  std::vector<std::unique_ptr<PrefixWatcher>> watchers;
  for (FakeStoreChannel& store : other_stores) {
    watchers.push_back(std::make_unique<PrefixWatcher>(
        PrefixWatcherSettings{.prefix = "o/"},
        PrefixWatcherCallbacks{
            .on_snapshot = [](const std::vector<StoreEntry>&, bool) {},
            .on_changes = [](const PrefixChanges&) {}},
        store, retry_queue_, timers_, events_));
    watchers.back()->Start();
  }
  const auto fail_open_reads = [&] {
    for (FakeStoreChannel* const store :
         {&store_, &other_stores[0], &other_stores[1]}) {
      if (store->on_page) {
        store->FailRead();
      }
    }
  };
  for (int i = 0; i < 60; ++i) {
    fail_open_reads();
    timers_.Advance(100ms);
  }
  EXPECT_LE(store_.read_calls + other_stores[0].read_calls +
                other_stores[1].read_calls,
            25);
  for (int i = 0; i < 10 && !store_.on_page; ++i) {
    fail_open_reads();
    timers_.Advance(500ms);
  }
  ASSERT_TRUE(store_.on_page);
  store_.AnswerRead({"p/a"}, 5);
  EXPECT_TRUE(other_stores[0].on_page);
  EXPECT_TRUE(other_stores[1].on_page);
}

// Guards against waiting for a watch to which an unresponsive store never
// responds.
TEST_F(PrefixWatcherTest, ReadsAgainOnRequestWhileWatching) {
  store_.AnswerRead({"p/a"}, 10);
  watcher_.Reload();
  EXPECT_EQ(store_.read_calls, 2);
}

// Guards against one store call by each node for each change in a burst, as
// when a whole fleet starts.
TEST_F(PrefixWatcherTest, ChangesDuringTheDelayShareOneWatch) {
  FakeStoreChannel store;
  int change_count = 0;
  PrefixWatcher watcher(
      {.prefix = "p/", .watch_delay = 400ms},
      {.on_snapshot = [](const std::vector<StoreEntry>&, bool) {},
       .on_changes =
           [&](const PrefixChanges& batch) {
             change_count += static_cast<int>(batch.changes.size());
           }},
      store, retry_queue_, timers_, events_);
  watcher.Start();
  store.AnswerRead({}, 10);
  for (int64_t round = 1; round <= 2; ++round) {
    StoreChanges answer;
    answer.status = StoreCallStatus::kOk;
    answer.changes.resize(3);
    answer.store_revision = 10 + round;
    store.AnswerWatch(answer);
    timers_.Advance(390ms);
    EXPECT_EQ(store.watch_calls, round);
    timers_.Advance(20ms);
    EXPECT_EQ(store.watch_calls, round + 1);
    EXPECT_EQ(store.watched_after_revision, 10 + round);
  }
  EXPECT_EQ(change_count, 6);
  // After a watch that timed out without a change, the next one starts at once.
  StoreChanges none;
  none.status = StoreCallStatus::kOk;
  store.AnswerWatch(none);
  EXPECT_EQ(store.watch_calls, 4);
}

class RegistrationReconcilerTest : public testing::Test {
 protected:
  RegistrationReconcilerTest()
      : timers_(clock_),
        reconciler_(registry_, timers_, events_, [this] { ++reload_count_; }) {}

  size_t CountServing() { return registry_.Serving(PoolId("p")).size(); }

  ManualClock clock_;
  ManualTimerQueue timers_;
  RecordingEvents events_;
  EndpointRegistry registry_;
  int reload_count_ = 0;
  RegistrationReconciler reconciler_;
};

// Guards against removing endpoints whose registrations expired during an
// outage of the store, and against keeping those that do not register again.
TEST_F(RegistrationReconcilerTest, KeepsExpiredRegistrationsForAGracePeriod) {
  reconciler_.Replace(
      {MakeRegistration("a", "p", "d"), MakeRegistration("b", "p", "d")},
      false);
  reconciler_.Replace({MakeRegistration("a", "p", "d")}, true);
  EXPECT_EQ(CountServing(), 2u);
  timers_.Advance(2500ms);
  EXPECT_EQ(reload_count_, 1);
  reconciler_.Replace({MakeRegistration("a", "p", "d")}, false);
  EXPECT_EQ(CountServing(), 1u);
}

// Guards against new work for an endpoint whose registration ended while the
// store was available.
TEST_F(RegistrationReconcilerTest, RemovesMissingRegistrationsAtOnceOtherwise) {
  reconciler_.Replace({MakeRegistration("a", "p", "d")}, false);
  reconciler_.Replace({}, false);
  EXPECT_EQ(CountServing(), 0u);
}

EndpointRegistration MakeReport(const std::string& id,
                                int64_t sequence,
                                bool is_draining = false) {
  EndpointRegistration registration = MakeRegistration(id, "p", "d");
  registration.started_at_ms = 1000;
  registration.sequence = sequence;
  registration.is_draining = is_draining;
  return registration;
}

// Guards against new work for endpoints that leave or are gone, which a store
// that was restored from a copy names as ready again.
TEST_F(RegistrationReconcilerTest, IgnoresReportsOfARestoredStore) {
  reconciler_.Replace(
      {MakeReport("a", 5), MakeReport("b", 5), MakeReport("c", 5)}, false);
  reconciler_.Put(MakeReport("a", 9, /*is_draining=*/true));
  reconciler_.Remove(EndpointId("b"));
  ASSERT_EQ(CountServing(), 1u);
  reconciler_.Replace(
      {MakeReport("a", 5), MakeReport("b", 5), MakeReport("c", 5)}, true);
  reconciler_.Put(MakeReport("a", 5));
  reconciler_.Put(MakeReport("b", 5));
  EXPECT_EQ(CountServing(), 1u);
  // What the endpoints write again counts, and so does another process.
  reconciler_.Put(MakeReport("b", 12));
  EXPECT_EQ(CountServing(), 2u);
  EndpointRegistration other = MakeReport("a", 1);
  other.started_at_ms = 2000;
  reconciler_.Put(other);
  EXPECT_EQ(CountServing(), 3u);
}

// Guards against memory that grows with the number of endpoints ever removed.
TEST_F(RegistrationReconcilerTest, ForgetsEndpointsThatWereRemovedLongAgo) {
  for (int i = 0; i < 10'000; ++i) {
    const std::string id = "e" + std::to_string(i);
    reconciler_.Put(MakeReport(id, 5));
    reconciler_.Remove(EndpointId(id));
  }
  reconciler_.Put(MakeReport("e0", 5));
  EXPECT_EQ(CountServing(), 1u);
  reconciler_.Put(MakeReport("e9999", 5));
  EXPECT_EQ(CountServing(), 1u);
}

// Guards against a node whose registration expires while it runs, and against a
// node that does not detect an unresponsive store.
TEST(NodeRegistrationTest, RenewsItsLeaseAndReportsAnUnresponsiveStore) {
  ManualClock clock;
  ManualTimerQueue timers(clock);
  FakeStoreChannel store;
  RecordingEvents events;
  int unresponsive_count = 0;
  int response_count = 0;
  NodeRegistration registration(
      NodeId("n1"), {"10.0.0.1:7", FailureDomainId("d")}, store, timers, events,
      {.on_store_response = [&] { ++response_count; },
       .on_store_contact_lost = [&] { ++unresponsive_count; },
       .is_watching = [] { return true; }});
  registration.Start();
  store.on_lease({StoreCallStatus::kOk, 9, 6s});
  ASSERT_EQ(store.puts.size(), 1u);
  EXPECT_EQ(store.puts[0].lease, 9);
  store.on_put(StoreCallStatus::kOk);
  timers.Advance(1300ms);
  EXPECT_EQ(store.renew_calls, 1);
  store.on_renew({StoreCallStatus::kUnknown, 0, 0s});
  EXPECT_EQ(unresponsive_count, 1);
  EXPECT_EQ(response_count, 0);
  timers.Advance(800ms);
  store.on_renew({StoreCallStatus::kRefused, 0, 0s});
  EXPECT_EQ(unresponsive_count, 1);
  timers.Advance(800ms);
  store.on_renew({StoreCallStatus::kConflict, 0, 0s});
  EXPECT_EQ(store.grant_calls, 2);
  registration.Stop();
  EXPECT_EQ(store.end_lease_calls, 1);
}

// Guards against a node that is missing in a restored store while it renews the
// lease of another node, which has got the same id.
TEST(NodeRegistrationTest, RegistersAgainInARestoredStore) {
  ManualClock clock;
  ManualTimerQueue timers(clock);
  FakeStoreChannel store;
  RecordingEvents events;
  NodeRegistration registration(
      NodeId("n1"), {"10.0.0.1:7", FailureDomainId("d")}, store, timers, events,
      {.on_store_response = [] {},
       .on_store_contact_lost = [] {},
       .is_watching = [] { return true; }});
  registration.Start();
  store.on_lease({StoreCallStatus::kOk, 9, 6s, 1});
  store.on_put(StoreCallStatus::kOk);
  timers.Advance(1300ms);
  store.on_renew({StoreCallStatus::kOk, 9, 6s, 1});
  EXPECT_EQ(store.grant_calls, 1);
  timers.Advance(1300ms);
  store.on_renew({StoreCallStatus::kOk, 9, 6s, 2});
  ASSERT_EQ(store.grant_calls, 2);
  store.on_lease({StoreCallStatus::kOk, 12, 6s, 2});
  ASSERT_EQ(store.puts.size(), 2u);
  EXPECT_EQ(store.puts[1].lease, 12);
}

}  // namespace
}  // namespace peridotmill
