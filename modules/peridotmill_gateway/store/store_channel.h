#ifndef PERIDOTMILL_GATEWAY_STORE_STORE_CHANNEL_H_
#define PERIDOTMILL_GATEWAY_STORE_STORE_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "peridotmill_core/store/store_call.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// How a call to the store ended. A refused call has done nothing; of one that
// is unknown nothing can be said.
enum class StoreCallStatus : uint8_t {
  kOk,
  kRefused,
  kUnknown,
  // The changes asked for are no longer kept.
  kHistoryGone,
  // The lease has ended, or a condition does not hold.
  kConflict,
};

// Keys with a common prefix, in order.
struct StorePage {
  StoreCallStatus status = StoreCallStatus::kUnknown;
  std::vector<StoreEntry> entries;
  bool has_more = false;
  int64_t store_revision = 0;
};

struct StoreChange {
  StoreEntry entry;
  bool is_removed = false;
};

struct StoreChanges {
  StoreCallStatus status = StoreCallStatus::kUnknown;
  std::vector<StoreChange> changes;
  int64_t store_revision = 0;
};

struct StoreLease {
  StoreCallStatus status = StoreCallStatus::kUnknown;
  int64_t id = 0;
  Duration time_to_live = Duration::zero();
};

// An open call; destroying it drops its answer.
class OpenStoreCall {
 public:
  virtual ~OpenStoreCall() = default;
};

// Calls to the platform's store. Callbacks never come within the call; each
// call has a time limit after which it ends as kUnknown.
class StoreChannel {
 public:
  virtual ~StoreChannel() = default;
  virtual std::unique_ptr<OpenStoreCall> ReadPrefix(
      const std::string& prefix,
      const std::string& after_key,
      std::function<void(StorePage)> callback) = 0;
  // Waits up to `wait` for changes after `after_revision`.
  virtual std::unique_ptr<OpenStoreCall> WatchPrefix(
      const std::string& prefix,
      int64_t after_revision,
      Duration wait,
      std::function<void(StoreChanges)> callback) = 0;
  virtual std::unique_ptr<OpenStoreCall> GrantLease(
      Duration time_to_live,
      std::function<void(StoreLease)> callback) = 0;
  virtual std::unique_ptr<OpenStoreCall> KeepLease(
      int64_t lease,
      std::function<void(StoreLease)> callback) = 0;
  virtual std::unique_ptr<OpenStoreCall> EndLease(
      int64_t lease,
      std::function<void(StoreCallStatus)> callback) = 0;
  virtual std::unique_ptr<OpenStoreCall> Put(
      const StorePut& put,
      std::function<void(StoreCallStatus)> callback) = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STORE_STORE_CHANNEL_H_
