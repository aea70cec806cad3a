#include "peridotmill_gateway/replication/value_fetcher.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_gateway/replication/value_transfer.h"
#include "peridotmill_gateway/tests/recording_events.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

// Text that hardly compresses.
std::string MakeValue(uint64_t seed, size_t size) {
  Random random(seed);
  std::string value;
  while (value.size() < size) {
    value += std::to_string(random.Unit());
  }
  return value;
}

ValueVersion Version(int64_t mod_revision) {
  return {ReplicaPart::kConfiguration, "config", mod_revision};
}

SnapshotMessage SnapshotWithoutValue(int64_t revision) {
  SnapshotMessage snapshot = {.revision = revision};
  snapshot.entries = {{.key = "config", .mod_revision = revision}};
  snapshot.omitted_values = {Version(revision)};
  return snapshot;
}

// A fetcher whose sources "a" and "b" are played by the test.
class ValueFetcherTest : public testing::Test {
 protected:
  struct Request {
    NodeId source;
    FetchValueMessage message;
  };

  ValueFetcherTest()
      : fetcher_(clock_,
                 events_,
                 state_,
                 {.sources = [this] { return sources_; },
                  .send =
                      [this](const NodeId& source,
                             const FetchValueMessage& message) {
                        requests_.push_back({source, message});
                      },
                  .on_complete =
                      [this](ReplicaUpdate update) {
                        completed_.push_back(std::move(update));
                      }}) {}

  static constexpr size_t kChunkBytes = size_t{16} << 10;

  // Answers the first open request with chunks of a transfer.
  void Answer(const ValueTransfer& transfer) {
    ASSERT_FALSE(requests_.empty());
    const FetchValueMessage request = requests_.front().message;
    requests_.erase(requests_.begin());
    const size_t end =
        std::min<size_t>(request.offset + request.size, transfer.bytes.size());
    for (size_t offset = request.offset; offset < end; offset += kChunkBytes) {
      fetcher_.OnChunk(
          {.version = request.version,
           .base_revision = transfer.base_revision,
           .transfer_digest = transfer.digest,
           .transfer_size = static_cast<uint32_t>(transfer.bytes.size()),
           .offset = static_cast<uint32_t>(offset),
           .bytes = transfer.bytes.substr(
               offset, std::min(kChunkBytes, end - offset))});
    }
  }
  void AnswerAll(const ValueTransfer& transfer) {
    while (!requests_.empty()) {
      Answer(transfer);
    }
  }
  std::string CompletedValue() const {
    return completed_.size() == 1
               ? std::get<SnapshotMessage>(completed_[0]).entries[0].value
               : "";
  }

  ManualClock clock_;
  RecordingEvents events_;
  PrefixState state_;
  std::vector<NodeId> sources_ = {NodeId("a"), NodeId("b")};
  std::vector<Request> requests_;
  std::vector<ReplicaUpdate> completed_;
  ValueFetcher fetcher_;
};

// Guards against a sender that queues a whole document for one receiver.
TEST_F(ValueFetcherTest, RequestsAFewRangesAtATime) {
  const std::string value = MakeValue(1, 400'000);
  const ValueTransfer transfer = MakeValueTransfer(0, "", value);
  fetcher_.Start(SnapshotWithoutValue(7), NodeId("a"));
  while (!requests_.empty()) {
    size_t open_bytes = 0;
    for (const Request& request : requests_) {
      open_bytes += request.message.size;
    }
    EXPECT_LE(open_bytes, size_t{64} << 10);
    Answer(transfer);
  }
  EXPECT_EQ(CompletedValue(), value);
  EXPECT_FALSE(fetcher_.is_fetching());
}

// Guards against a fetch that begins anew when its source is lost.
TEST_F(ValueFetcherTest, GoesOnWithAnotherSourceWhereItStopped) {
  const std::string value = MakeValue(1, 400'000);
  const ValueTransfer transfer = MakeValueTransfer(0, "", value);
  fetcher_.Start(SnapshotWithoutValue(7), NodeId("a"));
  Answer(transfer);
  requests_.clear();
  sources_ = {NodeId("b")};
  fetcher_.CheckProgress();
  ASSERT_EQ(requests_.size(), 1u);
  EXPECT_EQ(requests_[0].source, NodeId("b"));
  EXPECT_EQ(requests_[0].message.offset, 32u << 10);
  AnswerAll(transfer);
  EXPECT_EQ(CompletedValue(), value);
}

// Guards against a slow source that is dropped while it sends, and a silent
// one that is waited for.
TEST_F(ValueFetcherTest, LeavesOnlyASourceThatMakesNoProgress) {
  const ValueTransfer transfer =
      MakeValueTransfer(0, "", MakeValue(1, 400'000));
  fetcher_.Start(SnapshotWithoutValue(7), NodeId("a"));
  for (int i = 0; i < 5; ++i) {
    clock_.Advance(900ms);
    fetcher_.CheckProgress();
    ASSERT_FALSE(events_.Has("value_fetch_moved"));
    Answer(transfer);
  }
  clock_.Advance(1100ms);
  fetcher_.CheckProgress();
  EXPECT_TRUE(events_.Has("value_fetch_moved key=config peer=b"));
}

// Guards against a mixture of two transfers of one value.
TEST_F(ValueFetcherTest, BeginsAnewIfTheNextSourceEncodesAnotherWay) {
  const std::string base = MakeValue(1, 300'000);
  const std::string value = base + MakeValue(2, 100'000);
  ASSERT_TRUE(ApplySnapshot(
      state_, 5, {{.key = "config", .value = base, .mod_revision = 5}}));
  fetcher_.Start(SnapshotWithoutValue(7), NodeId("a"));
  EXPECT_EQ(requests_[0].message.base_revision, 5);
  Answer(MakeValueTransfer(5, base, value));
  requests_.clear();
  sources_ = {NodeId("b")};
  fetcher_.CheckProgress();
  // Source b no longer has version 5.
  AnswerAll(MakeValueTransfer(0, "", value));
  EXPECT_EQ(CompletedValue(), value);
}

// Guards against a node that stays behind because a difference does not fit
// its version.
TEST_F(ValueFetcherTest, FetchesTheWholeValueIfADifferenceDoesNotFit) {
  const std::string value = MakeValue(2, 50'000);
  ASSERT_TRUE(ApplySnapshot(
      state_, 5,
      {{.key = "config", .value = MakeValue(1, 50'000), .mod_revision = 5}}));
  fetcher_.Start(SnapshotWithoutValue(7), NodeId("a"));
  const std::string other_base = MakeValue(3, 50'000);
  const ValueTransfer unfit =
      MakeValueTransfer(5, other_base, other_base + value);
  while (!requests_.empty() && requests_[0].message.base_revision == 5) {
    Answer(unfit);
  }
  EXPECT_TRUE(events_.Has("value_transfer_unreadable"));
  AnswerAll(MakeValueTransfer(0, "", value));
  EXPECT_EQ(CompletedValue(), value);
}

// Guards against a faulty source that is asked again without end.
TEST_F(ValueFetcherTest, EndsIfTheWholeValueIsUnreadable) {
  ValueTransfer damaged = MakeValueTransfer(0, "", MakeValue(1, 50'000));
  damaged.bytes[100] ^= 1;
  fetcher_.Start(SnapshotWithoutValue(7), NodeId("a"));
  AnswerAll(damaged);
  EXPECT_FALSE(fetcher_.is_fetching());
  EXPECT_TRUE(completed_.empty());
}

// Guards against a fetch that never ends once its version was replaced
// everywhere, or once this node has a newer one from the store.
TEST_F(ValueFetcherTest, EndsWhenTheValueIsGoneOrNotNeeded) {
  fetcher_.Start(SnapshotWithoutValue(7), NodeId("a"));
  fetcher_.OnChunk({.version = Version(7), .transfer_size = 0});
  EXPECT_FALSE(fetcher_.is_fetching());
  fetcher_.Start(SnapshotWithoutValue(7), NodeId("a"));
  ASSERT_TRUE(ApplySnapshot(
      state_, 9, {{.key = "config", .value = "new", .mod_revision = 9}}));
  fetcher_.CheckProgress();
  EXPECT_FALSE(fetcher_.is_fetching());
  fetcher_.Start(SnapshotWithoutValue(11), NodeId("a"));
  sources_.clear();
  fetcher_.CheckProgress();
  EXPECT_FALSE(fetcher_.is_fetching());
  EXPECT_TRUE(completed_.empty());
}

// Guards against a cached transfer that is given to a node with another base,
// and against a version that can't be finished once it was replaced.
TEST(ValueTransferCacheTest, KeepsTransfersByVersionAndBase) {
  PrefixState state;
  const std::string first = MakeValue(1, 50'000);
  const std::string second = first + MakeValue(2, 20'000);
  const auto apply = [&](int64_t revision, const std::string& value) {
    ApplySnapshot(
        state, revision,
        {{.key = "config", .value = value, .mod_revision = revision}});
  };
  apply(5, first);
  apply(7, second);
  ValueTransferCache cache;
  const auto difference = cache.Get(state, Version(7), 5);
  ASSERT_NE(difference, nullptr);
  EXPECT_EQ(difference->base_revision, 5);
  EXPECT_EQ(*ReadValueTransfer(first, difference->bytes), second);
  const auto whole = cache.Get(state, Version(7), 0);
  EXPECT_EQ(whole->base_revision, 0);
  EXPECT_EQ(*ReadValueTransfer("", whole->bytes), second);
  EXPECT_LT(difference->bytes.size(), whole->bytes.size() / 2);
  for (int64_t revision = 8; revision < 12; ++revision) {
    apply(revision, second + std::to_string(revision));
  }
  EXPECT_EQ(cache.Get(state, Version(7), 5), difference);
  EXPECT_EQ(cache.Get(state, Version(6), 5), nullptr);
}

}  // namespace
}  // namespace peridotmill
