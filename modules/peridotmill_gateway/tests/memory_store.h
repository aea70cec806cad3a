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

namespace peridotmill {

// The platform's store in memory, for many nodes at a time: revisions, watches
// and leases, with outages of several kinds. Leases do not lapse.
class MemoryStore {
 public:
  explicit MemoryStore(TimerQueue& timers) : timers_(timers) {}

  void Write(const std::string& key, const std::string& value) {
    StoreEntry& entry = entries_[key];
    entry.key = key;
    entry.value = value;
    entry.mod_revision = ++revision_;
    history_.push_back({.entry = entry});
    AnswerWatches();
  }
  // Removes a key, as when its lease lapses while the store is away; watches
  // are not told.
  void Lapse(const std::string& key) {
    entries_.erase(key);
    ++revision_;
  }
  void SetDown(bool is_down) { is_down_ = is_down; }
  // Calls of this node get no answer from now on.
  void CutOff(const std::string& node) { cut_off_.insert(node); }
  // Watches that wait now hear of no change.
  void SilenceOpenWatches() {
    for (const auto& watch : watches_) {
      watch->is_silent = true;
    }
  }
  // Forgets all changes and cuts the watches.
  void DropHistory() {
    history_.clear();
    history_start_ = revision_;
    for (const auto& watch : std::exchange(watches_, {})) {
      Finish(watch, StoreChanges());
    }
  }

  // Reads and watches so far; renewals of leases are not counted.
  int reading_calls() const { return reading_calls_; }

 private:
  friend class MemoryStoreChannel;

  // A watch that waits. `answer` is empty when its call is gone.
  struct Watch {
    std::string prefix;
    std::string node;
    int64_t after = 0;
    bool is_silent = false;
    std::function<void(StoreChanges)> answer;
    std::unique_ptr<Timer> timer;
  };

  bool Reaches(const std::string& node) const {
    return !is_down_ && !cut_off_.contains(node);
  }

  std::vector<StoreChange> ChangesFor(const Watch& watch) const {
    std::vector<StoreChange> changes;
    for (const StoreChange& change : history_) {
      if (change.entry.mod_revision > watch.after &&
          change.entry.key.starts_with(watch.prefix)) {
        changes.push_back(change);
      }
    }
    return changes;
  }

  void AnswerWatches() {
    for (const auto& watch : std::vector(watches_)) {
      if (!watch->is_silent && Reaches(watch->node) &&
          !ChangesFor(*watch).empty()) {
        std::erase(watches_, watch);
        Answer(watch);
      }
    }
  }
  void Answer(const std::shared_ptr<Watch>& watch) {
    Finish(watch, {.status = StoreCallStatus::kOk,
                   .changes = ChangesFor(*watch),
                   .store_revision = revision_});
  }
  void Finish(const std::shared_ptr<Watch>& watch,
              const StoreChanges& changes) {
    watch->timer = timers_.After(kAnswerTime, [watch, changes] {
      if (const auto answer = std::exchange(watch->answer, nullptr)) {
        answer(changes);
      }
    });
  }

  static constexpr Duration kAnswerTime = std::chrono::milliseconds(4);

  TimerQueue& timers_;
  std::map<std::string, StoreEntry> entries_;
  std::vector<StoreChange> history_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::set<std::string> cut_off_;
  int64_t revision_ = 0;
  int64_t history_start_ = 0;
  bool is_down_ = false;
  int reading_calls_ = 0;
};

// The calls of one node to a MemoryStore.
class MemoryStoreChannel final : public StoreChannel {
 public:
  MemoryStoreChannel(MemoryStore& store, TimerQueue& timers, std::string node)
      : store_(store), timers_(timers), node_(std::move(node)) {}

  std::unique_ptr<OpenStoreCall> ReadPrefix(
      const std::string& prefix,
      const std::string&,
      std::function<void(StorePage)> callback) override {
    ++store_.reading_calls_;
    return Reply<StorePage>(std::move(callback), [this, prefix] {
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
  std::unique_ptr<OpenStoreCall> WatchPrefix(
      const std::string& prefix,
      int64_t after_revision,
      Duration wait,
      std::function<void(StoreChanges)> callback) override {
    ++store_.reading_calls_;
    auto watch = std::make_shared<MemoryStore::Watch>();
    watch->prefix = prefix;
    watch->node = node_;
    watch->after = after_revision;
    watch->answer = std::move(callback);
    if (!store_.Reaches(node_)) {
      watch->timer = timers_.After(wait + kCallTimeout, [watch] {
        if (const auto answer = std::exchange(watch->answer, nullptr)) {
          answer(StoreChanges());
        }
      });
    } else if (after_revision < store_.history_start_) {
      store_.Finish(watch, {.status = StoreCallStatus::kHistoryGone});
    } else if (!store_.ChangesFor(*watch).empty()) {
      store_.Answer(watch);
    } else {
      store_.watches_.push_back(watch);
      watch->timer = timers_.After(wait, [this, watch] {
        std::erase(store_.watches_, watch);
        if (store_.Reaches(node_)) {
          store_.Answer(watch);
        } else {
          store_.Finish(watch, StoreChanges());
        }
      });
    }
    return std::make_unique<OpenWatch>(watch);
  }
  std::unique_ptr<OpenStoreCall> GrantLease(
      Duration time_to_live,
      std::function<void(StoreLease)> callback) override {
    return Reply<StoreLease>(std::move(callback), [time_to_live] {
      return StoreLease{StoreCallStatus::kOk, 1, time_to_live};
    });
  }
  std::unique_ptr<OpenStoreCall> KeepLease(
      int64_t lease,
      std::function<void(StoreLease)> callback) override {
    return Reply<StoreLease>(std::move(callback), [lease] {
      return StoreLease{StoreCallStatus::kOk, lease, std::chrono::seconds(6)};
    });
  }
  std::unique_ptr<OpenStoreCall> EndLease(
      int64_t,
      std::function<void(StoreCallStatus)>) override {
    return std::make_unique<OpenStoreCall>();
  }
  std::unique_ptr<OpenStoreCall> Put(
      const StorePut& put,
      std::function<void(StoreCallStatus)> callback) override {
    return Reply<StoreCallStatus>(std::move(callback), [this, put] {
      store_.Write(put.key, put.value);
      return StoreCallStatus::kOk;
    });
  }

 private:
  class OpenReply final : public OpenStoreCall {
   public:
    explicit OpenReply(std::unique_ptr<Timer> timer)
        : timer_(std::move(timer)) {}

   private:
    std::unique_ptr<Timer> timer_;
  };
  class OpenWatch final : public OpenStoreCall {
   public:
    explicit OpenWatch(std::shared_ptr<MemoryStore::Watch> watch)
        : watch_(std::move(watch)) {}
    ~OpenWatch() override { watch_->answer = nullptr; }

   private:
    std::shared_ptr<MemoryStore::Watch> watch_;
  };

  // Answers after the store's usual time, or with nothing when it is silent.
  template <typename Answer>
  std::unique_ptr<OpenStoreCall> Reply(std::function<void(Answer)> callback,
                                       std::function<Answer()> answer) {
    const bool is_reached = store_.Reaches(node_);
    return std::make_unique<OpenReply>(
        timers_.After(is_reached ? MemoryStore::kAnswerTime : kCallTimeout,
                      [is_reached, callback = std::move(callback),
                       answer = std::move(answer)] {
                        callback(is_reached ? answer() : Unanswered<Answer>());
                      }));
  }
  template <typename Answer>
  static Answer Unanswered() {
    if constexpr (std::is_same_v<Answer, StoreCallStatus>) {
      return StoreCallStatus::kUnknown;
    } else {
      return Answer();
    }
  }

  static constexpr Duration kCallTimeout = std::chrono::seconds(1);

  MemoryStore& store_;
  TimerQueue& timers_;
  std::string node_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_TESTS_MEMORY_STORE_H_
