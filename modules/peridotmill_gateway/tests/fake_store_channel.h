#ifndef PERIDOTMILL_GATEWAY_TESTS_FAKE_STORE_CHANNEL_H_
#define PERIDOTMILL_GATEWAY_TESTS_FAKE_STORE_CHANNEL_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "peridotmill_gateway/store/store_channel.h"

namespace peridotmill {

// Records the calls to the store. The test completes the latest call of each
// kind.
class FakeStoreChannel final : public StoreChannel {
 public:
  std::unique_ptr<StoreCallHandle> ReadPrefix(
      const std::string&,
      const std::string& after_key,
      std::function<void(StorePage)> callback) override {
    ++read_calls;
    last_after_key = after_key;
    on_page = std::move(callback);
    return std::make_unique<StoreCallHandle>();
  }
  std::unique_ptr<StoreCallHandle> WatchPrefix(
      const std::string&,
      int64_t after_revision,
      Duration,
      std::function<void(StoreChanges)> callback) override {
    ++watch_calls;
    watched_after_revision = after_revision;
    on_changes = std::move(callback);
    return std::make_unique<StoreCallHandle>();
  }
  std::unique_ptr<StoreCallHandle> GrantLease(
      Duration,
      std::function<void(StoreLease)> callback) override {
    ++grant_calls;
    on_lease = std::move(callback);
    return std::make_unique<StoreCallHandle>();
  }
  std::unique_ptr<StoreCallHandle> RenewLease(
      int64_t,
      std::function<void(StoreLease)> callback) override {
    ++renew_calls;
    on_renew = std::move(callback);
    return std::make_unique<StoreCallHandle>();
  }
  std::unique_ptr<StoreCallHandle> EndLease(
      int64_t,
      std::function<void(StoreCallStatus)>) override {
    ++end_lease_calls;
    return std::make_unique<StoreCallHandle>();
  }
  std::unique_ptr<StoreCallHandle> Put(
      const StorePut& put,
      std::function<void(StoreCallStatus)> callback) override {
    puts.push_back(put);
    on_put = std::move(callback);
    return std::make_unique<StoreCallHandle>();
  }

  std::unique_ptr<StoreCallHandle> CompareAndPut(
      const StorePut& put,
      int64_t expected_revision,
      std::function<void(StoreWrite)> callback) override {
    puts.push_back(put);
    expected_revisions.push_back(expected_revision);
    on_write = std::move(callback);
    return std::make_unique<StoreCallHandle>();
  }
  std::unique_ptr<StoreCallHandle> Remove(
      const std::string& key,
      std::function<void(StoreCallStatus)>) override {
    removed_keys.push_back(key);
    return std::make_unique<StoreCallHandle>();
  }

  void AnswerRead(std::vector<std::string> keys,
                  int64_t revision,
                  bool has_more = false) {
    StorePage page;
    page.status = StoreCallStatus::kOk;
    for (std::string& key : keys) {
      page.entries.push_back({.key = std::move(key), .value = "v"});
    }
    page.store_revision = revision;
    page.has_more = has_more;
    std::exchange(on_page, nullptr)(std::move(page));
  }
  void FailRead() { std::exchange(on_page, nullptr)(StorePage()); }
  void AnswerWatch(StoreChanges changes) {
    std::exchange(on_changes, nullptr)(std::move(changes));
  }

  int read_calls = 0;
  int watch_calls = 0;
  int grant_calls = 0;
  int renew_calls = 0;
  int end_lease_calls = 0;
  int64_t watched_after_revision = 0;
  std::string last_after_key;
  std::vector<StorePut> puts;
  std::vector<int64_t> expected_revisions;
  std::vector<std::string> removed_keys;
  std::function<void(StorePage)> on_page;
  std::function<void(StoreChanges)> on_changes;
  std::function<void(StoreLease)> on_lease;
  std::function<void(StoreLease)> on_renew;
  std::function<void(StoreCallStatus)> on_put;
  std::function<void(StoreWrite)> on_write;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_TESTS_FAKE_STORE_CHANNEL_H_
