#ifndef PERIDOTMILL_GATEWAY_TESTS_MEMORY_STORE_H_
#define PERIDOTMILL_GATEWAY_TESTS_MEMORY_STORE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/store/store_channel.h"
#include "peridotmill_gateway/store/store_position.h"

namespace peridotmill {

// In-memory fake of the platform's store for many nodes, with revisions,
// watches and leases. It simulates several kinds of outage. Leases do not
// expire by themselves.
class MemoryStore {
 public:
  explicit MemoryStore(TimerQueue& timers) : timers_(timers) {}

  void Write(const std::string& key, const std::string& value) {
    StoreEntry& entry = entries_[key];
    entry.key = key;
    entry.value = value;
    entry.mod_revision = ++revision_;
    history_.push_back({.entry = entry});
    CompleteWatchesWithChanges();
  }
  // Removes a key without notifying watches, as when its lease expires while
  // the store is unavailable.
  void RemoveUnnoticed(const std::string& key) {
    entries_.erase(key);
    ++revision_;
  }
  // Removes a key and reports that to watches.
  void Remove(const std::string& key) {
    entries_.erase(key);
    StoreChange removal = {.is_removed = true};
    removal.entry.key = key;
    removal.entry.mod_revision = ++revision_;
    history_.push_back(removal);
    CompleteWatchesWithChanges();
  }
  // Makes all later responses take this time.
  void SetResponseTime(Duration time) { response_time_ = time; }
  void SetUnavailable(bool is_unavailable) { is_unavailable_ = is_unavailable; }
  // Leaves all later calls of this node without a response.
  void Disconnect(const std::string& node) { disconnected_nodes_.insert(node); }
  void Reconnect(const std::string& node) { disconnected_nodes_.erase(node); }
  // Stops reporting changes to the watches that are waiting now.
  void StallOpenWatches() {
    for (const auto& watch : watches_) {
      watch->is_stalled = true;
    }
  }
  // Discards all changes and fails the waiting watches.
  void CompactHistory() {
    history_.clear();
    history_start_ = revision_;
    for (const auto& watch : std::exchange(watches_, {})) {
      CompleteWatch(watch, StoreChanges());
    }
  }

  // The contents of the store at one time.
  struct Copy {
    std::map<std::string, StoreEntry> entries;
    int64_t revision = 0;
  };
  Copy MakeCopy() const { return {entries_, revision_}; }
  // Replaces the contents by those of a copy, and fails the waiting watches.
  // Revisions after that of the copy are given out again.
  void Restore(const Copy& copy) {
    const int64_t era = StoreEraOf(revision_) + 1;
    revision_ = MakeStorePosition(era, StoreRevisionOf(copy.revision));
    entries_ = copy.entries;
    for (auto& [key, entry] : entries_) {
      entry.mod_revision =
          MakeStorePosition(era, StoreRevisionOf(entry.mod_revision));
    }
    CompactHistory();
  }

  // Number of reads and watches so far, without lease renewals.
  int read_and_watch_calls() const { return read_and_watch_calls_; }

 private:
  friend class MemoryStoreChannel;

  // A watch in flight. `callback` is empty after its call was cancelled.
  struct Watch {
    std::string prefix;
    std::string node;
    int64_t after_revision = 0;
    bool is_stalled = false;
    std::function<void(StoreChanges)> callback;
    std::unique_ptr<Timer> timer;
  };

  bool IsReachableFrom(const std::string& node) const {
    return !is_unavailable_ && !disconnected_nodes_.contains(node);
  }

  std::vector<StoreChange> ChangesFor(const Watch& watch) const {
    std::vector<StoreChange> changes;
    for (const StoreChange& change : history_) {
      if (StoreRevisionOf(change.entry.mod_revision) >
              StoreRevisionOf(watch.after_revision) &&
          change.entry.key.starts_with(watch.prefix)) {
        changes.push_back(change);
      }
    }
    return changes;
  }

  void CompleteWatchesWithChanges() {
    for (const auto& watch : std::vector(watches_)) {
      if (!watch->is_stalled && IsReachableFrom(watch->node) &&
          !ChangesFor(*watch).empty()) {
        std::erase(watches_, watch);
        SendChanges(watch);
      }
    }
  }
  void SendChanges(const std::shared_ptr<Watch>& watch) {
    CompleteWatch(watch, {.status = StoreCallStatus::kOk,
                          .changes = ChangesFor(*watch),
                          .store_revision = revision_});
  }
  void CompleteWatch(const std::shared_ptr<Watch>& watch,
                     const StoreChanges& changes) {
    watch->timer = timers_.After(response_time_, [watch, changes] {
      if (const auto callback = std::exchange(watch->callback, nullptr)) {
        callback(changes);
      }
    });
  }

  TimerQueue& timers_;
  std::map<std::string, StoreEntry> entries_;
  std::vector<StoreChange> history_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::set<std::string> disconnected_nodes_;
  int64_t revision_ = 0;
  int64_t history_start_ = 0;
  bool is_unavailable_ = false;
  Duration response_time_ = std::chrono::milliseconds(4);
  int read_and_watch_calls_ = 0;
};

// The calls of one node to a MemoryStore.
class MemoryStoreChannel final : public StoreChannel {
 public:
  MemoryStoreChannel(MemoryStore& store, TimerQueue& timers, std::string node)
      : store_(store), timers_(timers), node_(std::move(node)) {}

  std::unique_ptr<StoreCallHandle> ReadPrefix(
      const std::string& prefix,
      const std::string&,
      std::function<void(StorePage)> callback) override {
    ++store_.read_and_watch_calls_;
    return RespondLater<StorePage>(std::move(callback), [this, prefix] {
      StorePage page = {.status = StoreCallStatus::kOk,
                        .store_revision = store_.revision_};
      for (const auto& [key, entry] : store_.entries_) {
        if (key.starts_with(prefix)) {
          page.entries.push_back(entry);
        }
      }
      return page;
    });
  }
  std::unique_ptr<StoreCallHandle> WatchPrefix(
      const std::string& prefix,
      int64_t after_revision,
      Duration wait,
      std::function<void(StoreChanges)> callback) override {
    ++store_.read_and_watch_calls_;
    auto watch = std::make_shared<MemoryStore::Watch>();
    watch->prefix = prefix;
    watch->node = node_;
    watch->after_revision = after_revision;
    watch->callback = std::move(callback);
    if (!store_.IsReachableFrom(node_)) {
      watch->timer = timers_.After(wait + kCallTimeout, [watch] {
        if (const auto callback = std::exchange(watch->callback, nullptr)) {
          callback(StoreChanges());
        }
      });
    } else if (StoreRevisionOf(after_revision) <
                   StoreRevisionOf(store_.history_start_) ||
               StoreRevisionOf(after_revision) >
                   StoreRevisionOf(store_.revision_)) {
      store_.CompleteWatch(watch, {.status = StoreCallStatus::kCompacted});
    } else if (!store_.ChangesFor(*watch).empty()) {
      store_.SendChanges(watch);
    } else {
      store_.watches_.push_back(watch);
      watch->timer = timers_.After(wait, [this, watch] {
        std::erase(store_.watches_, watch);
        if (store_.IsReachableFrom(node_)) {
          store_.SendChanges(watch);
        } else {
          store_.CompleteWatch(watch, StoreChanges());
        }
      });
    }
    return std::make_unique<PendingWatch>(watch);
  }
  std::unique_ptr<StoreCallHandle> GrantLease(
      Duration time_to_live,
      std::function<void(StoreLease)> callback) override {
    return RespondLater<StoreLease>(std::move(callback), [this, time_to_live] {
      return StoreLease{StoreCallStatus::kOk, 1, time_to_live,
                        StoreEraOf(store_.revision_)};
    });
  }
  std::unique_ptr<StoreCallHandle> RenewLease(
      int64_t lease,
      std::function<void(StoreLease)> callback) override {
    return RespondLater<StoreLease>(std::move(callback), [this, lease] {
      return StoreLease{StoreCallStatus::kOk, lease, std::chrono::seconds(6),
                        StoreEraOf(store_.revision_)};
    });
  }
  std::unique_ptr<StoreCallHandle> EndLease(
      int64_t,
      std::function<void(StoreCallStatus)>) override {
    return std::make_unique<StoreCallHandle>();
  }
  std::unique_ptr<StoreCallHandle> Put(
      const StorePut& put,
      std::function<void(StoreCallStatus)> callback) override {
    return RespondLater<StoreCallStatus>(std::move(callback), [this, put] {
      store_.Write(put.key, put.value);
      return StoreCallStatus::kOk;
    });
  }
  std::unique_ptr<StoreCallHandle> CompareAndPut(
      const StorePut& put,
      int64_t expected_revision,
      std::function<void(StoreWrite)> callback) override {
    return RespondLater<StoreWrite>(std::move(callback), [this, put,
                                                          expected_revision] {
      const auto found = store_.entries_.find(put.key);
      const bool exists = found != store_.entries_.end();
      StoreWrite write;
      if (StoreRevisionOf(exists ? found->second.mod_revision : 0) !=
          StoreRevisionOf(expected_revision)) {
        write.status = StoreCallStatus::kConflict;
        write.current = exists ? std::optional(found->second) : std::nullopt;
        return write;
      }
      store_.Write(put.key, put.value);
      write.status = StoreCallStatus::kOk;
      write.revision = store_.revision_;
      return write;
    });
  }
  std::unique_ptr<StoreCallHandle> Remove(
      const std::string& key,
      std::function<void(StoreCallStatus)> callback) override {
    return RespondLater<StoreCallStatus>(std::move(callback), [this, key] {
      store_.Remove(key);
      return StoreCallStatus::kOk;
    });
  }

 private:
  class PendingResponse final : public StoreCallHandle {
   public:
    explicit PendingResponse(std::unique_ptr<Timer> timer)
        : timer_(std::move(timer)) {}

   private:
    std::unique_ptr<Timer> timer_;
  };
  class PendingWatch final : public StoreCallHandle {
   public:
    explicit PendingWatch(std::shared_ptr<MemoryStore::Watch> watch)
        : watch_(std::move(watch)) {}
    ~PendingWatch() override { watch_->callback = nullptr; }

   private:
    std::shared_ptr<MemoryStore::Watch> watch_;
  };

  // Runs the callback after the response time, or after a timeout with
  // NoResponse() if the node does not reach the store.
  template <typename Response>
  std::unique_ptr<StoreCallHandle> RespondLater(
      std::function<void(Response)> callback,
      std::function<Response()> make_response) {
    const bool is_reachable = store_.IsReachableFrom(node_);
    return std::make_unique<PendingResponse>(timers_.After(
        is_reachable ? store_.response_time_ : kCallTimeout,
        [is_reachable, callback = std::move(callback),
         make_response = std::move(make_response)] {
          callback(is_reachable ? make_response() : NoResponse<Response>());
        }));
  }
  template <typename Response>
  static Response NoResponse() {
    if constexpr (std::is_same_v<Response, StoreCallStatus>) {
      return StoreCallStatus::kUnknown;
    } else {
      return Response();
    }
  }

  static constexpr Duration kCallTimeout = std::chrono::seconds(1);

  MemoryStore& store_;
  TimerQueue& timers_;
  std::string node_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_TESTS_MEMORY_STORE_H_
