#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fake_store.h"
#include "sample_objects.h"

namespace peridotmill {
namespace {

using std::chrono::seconds;

PublicationRequest Request(int64_t base, const std::string& nonce) {
  PublicationRequest request;
  request.base = Revision(base);
  request.nonce = Nonce(nonce);
  request.author = "author-" + nonce;
  return request;
}

// What happens to a store call.
enum class Fault { kNone, kRefused, kLostBefore, kLostAfter };

StoreAnswer Call(FakeStore& store, const StoreRequest& request, Fault fault) {
  StoreAnswer answer;
  if (fault == Fault::kRefused) {
    answer.status = StoreStatus::kUnavailable;
    return answer;
  }
  if (fault != Fault::kLostBefore) {
    answer = store.Apply(request);
  }
  if (fault != Fault::kNone) {
    answer = StoreAnswer{};
    answer.status = StoreStatus::kUnknown;
  }
  return answer;
}

// Runs to the end; `faults` apply to the calls in order.
PublicationResult Publish(FakeStore& store,
                          Publication publication,
                          const std::vector<Fault>& faults = {}) {
  TimePoint now(std::chrono::hours(1));
  for (size_t i = 0; i < 10000 && !publication.result; now += seconds(1)) {
    if (const auto request = NextPublicationCall(publication, now)) {
      const Fault fault = i < faults.size() ? faults[i] : Fault::kNone;
      ++i;
      ApplyPublicationAnswer(publication, Call(store, *request, fault), now);
    }
  }
  return publication.result.value_or(PublicationResult{});
}

size_t HistorySize(FakeStore& store) {
  return ReadHistory(store.Apply(HistoryRange(Revision(0), 0))).size();
}

// Guards against a publication that reports another outcome than the store's,
// or that takes effect twice.
TEST(PublicationTest, LostAndRefusedCalls) {
  using enum Fault;
  struct Case {
    std::vector<Fault> faults;
    PublicationStatus expected;
  };
  const Case cases[] = {
      {{}, PublicationStatus::kPublished},
      {{kRefused, kRefused}, PublicationStatus::kPublished},
      {{kNone, kLostAfter}, PublicationStatus::kPublished},
      {{kNone, kLostBefore}, PublicationStatus::kPublished},
      {{kNone, kLostBefore, kNone, kLostAfter}, PublicationStatus::kPublished},
      {{kNone, kRefused, kRefused, kLostAfter}, PublicationStatus::kPublished},
      {std::vector<Fault>(100, kRefused), PublicationStatus::kUnavailable},
      {{kNone, kLostAfter, kRefused, kRefused, kRefused, kRefused, kRefused,
        kRefused, kRefused, kRefused, kRefused},
       PublicationStatus::kUnknown},
  };
  for (const Case& test_case : cases) {
    FakeStore store;
    const PublicationResult result =
        Publish(store, StartPublication(Request(0, "a"), SampleObjects(5), 1),
                test_case.faults);
    EXPECT_EQ(result.status, test_case.expected) << &test_case - cases;
    EXPECT_EQ(HistorySize(store),
              test_case.expected == PublicationStatus::kUnavailable ? 0U : 1U)
        << &test_case - cases;
  }
}

// Guards against a race with two winners or none, a revision that is skipped,
// and a loser that is not told what changed.
TEST(PublicationTest, OneOfRacingPublishersWins) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    FakeStore store;
    Publish(store,
            StartPublication(Request(0, "base"), SampleObjects(3, 1), seed));
    Random random(seed);
    std::vector<Publication> publishers;
    publishers.reserve(4);
    for (int i = 0; i < 4; ++i) {
      publishers.push_back(StartPublication(Request(1, "p" + std::to_string(i)),
                                            SampleObjects(3, 10 + i),
                                            seed * 10 + i));
    }
    TimePoint now(std::chrono::hours(1));
    for (int step = 0; step < 5000; ++step, now += seconds(1)) {
      Publication& publication = publishers[random.Below(4)];
      const auto request = NextPublicationCall(publication, now);
      if (request) {
        const auto fault =
            static_cast<Fault>(random.Below(4) == 0 ? random.Below(4) : 0);
        ApplyPublicationAnswer(publication, Call(store, *request, fault), now);
      }
    }
    int winners = 0;
    for (const Publication& publication : publishers) {
      ASSERT_TRUE(publication.result) << "seed " << seed;
      const PublicationResult& result = *publication.result;
      if (result.status == PublicationStatus::kPublished) {
        ++winners;
        EXPECT_EQ(result.revision, Revision(2));
      } else {
        EXPECT_EQ(result.status, PublicationStatus::kConflict)
            << "seed " << seed;
        EXPECT_EQ(result.revision, Revision(2));
        ASSERT_EQ(result.changes.size(), 1U) << "seed " << seed;
        EXPECT_EQ(ToString(result.changes[0]),
                  "changed Pool/engines: concurrency");
      }
    }
    EXPECT_EQ(winners, 1) << "seed " << seed;
    EXPECT_EQ(HistorySize(store), 2U);
  }
}

// Guards against a lost answer that is taken for a lost race because others
// published in the meantime.
TEST(PublicationTest, OwnPublicationIsFoundInTheHistory) {
  FakeStore store;
  const TimePoint now(std::chrono::hours(1));
  Publication first = StartPublication(Request(0, "a"), SampleObjects(3), 1);
  ApplyPublicationAnswer(first, store.Apply(*NextPublicationCall(first, now)),
                         now);
  store.Apply(*NextPublicationCall(first, now));
  StoreAnswer lost;
  lost.status = StoreStatus::kUnknown;
  ApplyPublicationAnswer(first, lost, now);
  Publish(store, StartPublication(Request(1, "b"), SampleObjects(4), 1));
  Publish(store, StartPublication(Request(2, "c"), SampleObjects(5), 1));
  const PublicationResult result = Publish(store, first);
  EXPECT_EQ(result.status, PublicationStatus::kPublished);
  EXPECT_EQ(result.revision, Revision(1));
}

// Guards against transactions that the store refuses, and against an edit of
// one team that sends all teams.
TEST(PublicationTest, BatchesFitTheStore) {
  FakeStore store;
  EXPECT_EQ(
      Publish(store, StartPublication(Request(0, "a"), SampleObjects(30000), 1))
          .status,
      PublicationStatus::kPublished);
  EXPECT_LE(store.largest_txn(), kMaxTxnBytes);
  EXPECT_LE(store.most_operations(), kMaxTxnOperations);
  ObjectSet edited = SampleObjects(30000);
  edited.teams.at(TeamId("team-7")).share = 3;
  Publication publication = StartPublication(Request(1, "b"), edited, 1);
  const TimePoint now(std::chrono::hours(1));
  ApplyPublicationAnswer(
      publication, store.Apply(*NextPublicationCall(publication, now)), now);
  const auto txn = std::get<StoreTxn>(*NextPublicationCall(publication, now));
  EXPECT_EQ(txn.puts.size(), 3U) << "one part, head and history";
}

// Guards against a rollback that reuses an old revision or loses parts.
TEST(PublicationTest, RollbackIsANewRevision) {
  FakeStore store;
  Publish(store, StartPublication(Request(0, "a"), SampleObjects(3, 1), 1));
  Publish(store, StartPublication(Request(1, "b"), SampleObjects(3, 2), 1));
  const auto history = ReadHistory(store.Apply(HistoryRange(Revision(0), 0)));
  ASSERT_EQ(history.size(), 2U);
  const PublicationResult result =
      Publish(store, StartRollback(Request(2, "c"), history[0], 1));
  EXPECT_EQ(result.status, PublicationStatus::kPublished);
  EXPECT_EQ(result.revision, Revision(3));
  const auto head = DecodeHead(store.entries().at(kHeadKey).value);
  EXPECT_EQ(head->parts, history[0].parts);
  EXPECT_EQ(
      Publish(store, StartRollback(Request(3, "d"), history[0], 1)).status,
      PublicationStatus::kUnchanged);
}

// Guards against an invalid set in force.
TEST(PublicationTest, InvalidSetIsNotWritten) {
  FakeStore store;
  const PublicationResult result =
      Publish(store, StartPublication(Request(0, "a"), InvalidObjects(), 1));
  EXPECT_EQ(result.status, PublicationStatus::kInvalid);
  EXPECT_FALSE(result.findings.empty());
  EXPECT_TRUE(store.entries().empty());
}

// Guards against a plan that leaves changes out.
TEST(ObjectDifferenceTest, AddedRemovedAndChanged) {
  const ObjectSet from = SampleObjects(2, 1);
  ObjectSet to = SampleObjects(2, 2);
  to.teams.erase(TeamId("team-0"));
  to.teams[TeamId("team-9")].name = TeamId("team-9");
  to.deployment.attainment_weight = 0.9;
  std::string text;
  for (const ObjectChange& change : ObjectDifference(from, to)) {
    text += ToString(change) + "\n";
  }
  EXPECT_EQ(text,
            "changed Pool/engines: concurrency\n"
            "removed Team/team-0\n"
            "added Team/team-9\n"
            "changed Deployment/default: attainment_weight\n");
  EXPECT_TRUE(ObjectDifference(to, to).empty());
}

}  // namespace
}  // namespace peridotmill
