#ifndef PERIDOTMILL_GATEWAY_STORE_STORE_CHANNEL_H_
#define PERIDOTMILL_GATEWAY_STORE_STORE_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "peridotmill_core/store/store_call.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// Outcome of a call to the store. kRefused: the call had no effect. kUnknown:
// the call may have had an effect.
enum class StoreCallStatus : uint8_t {
  kOk,
  kRefused,
  kUnknown,
  // The store has compacted the requested changes.
  kCompacted,
  // The lease has expired, or a condition does not hold.
  kConflict,
};

// Response to ReadPrefix: some of the entries with a prefix, ordered by key.
struct StorePage {
  StoreCallStatus status = StoreCallStatus::kUnknown;
  std::vector<StoreEntry> entries;
  bool has_more = false;
  // Position of the store (store_position.h), like all its revisions.
  int64_t store_revision = 0;
};

// A write or removal of one key.
struct StoreChange {
  StoreEntry entry;
  bool is_removed = false;
};

// Response to WatchPrefix.
struct StoreChanges {
  StoreCallStatus status = StoreCallStatus::kUnknown;
  std::vector<StoreChange> changes;
  int64_t store_revision = 0;
};

// Response to GrantLease and RenewLease.
struct StoreLease {
  StoreCallStatus status = StoreCallStatus::kUnknown;
  int64_t id = 0;
  Duration time_to_live = Duration::zero();
  // Era of the store (store_position.h). Leases granted in an earlier one may
  // be gone, and their ids those of other leases.
  int64_t store_era = 0;
};

// Response to CompareAndPut.
struct StoreWrite {
  // kConflict: the key has another revision, or the lease has expired.
  StoreCallStatus status = StoreCallStatus::kUnknown;
  // Position of the write.
  int64_t revision = 0;
  bool is_lease_expired = false;
  // After a conflict: the key's present entry, if it exists.
  std::optional<StoreEntry> current;
};

// A call in flight. Destroying the handle cancels the callback.
class StoreCallHandle {
 public:
  virtual ~StoreCallHandle() = default;
};

// Interface for asynchronous calls to the platform's store. A callback never
// runs inside the function that starts its call. A call without a response ends
// with kUnknown after a timeout.
class StoreChannel {
 public:
  virtual ~StoreChannel() = default;
  // Reads one page of the entries with a prefix and keys after `after_key`.
  virtual std::unique_ptr<StoreCallHandle> ReadPrefix(
      const std::string& prefix,
      const std::string& after_key,
      std::function<void(StorePage)> callback) = 0;
  // Reports the changes after `after_revision`, for which it waits up to
  // `wait`.
  virtual std::unique_ptr<StoreCallHandle> WatchPrefix(
      const std::string& prefix,
      int64_t after_revision,
      Duration wait,
      std::function<void(StoreChanges)> callback) = 0;
  virtual std::unique_ptr<StoreCallHandle> GrantLease(
      Duration time_to_live,
      std::function<void(StoreLease)> callback) = 0;
  virtual std::unique_ptr<StoreCallHandle> RenewLease(
      int64_t lease,
      std::function<void(StoreLease)> callback) = 0;
  virtual std::unique_ptr<StoreCallHandle> EndLease(
      int64_t lease,
      std::function<void(StoreCallStatus)> callback) = 0;
  virtual std::unique_ptr<StoreCallHandle> Put(
      const StorePut& put,
      std::function<void(StoreCallStatus)> callback) = 0;
  // Writes `put` if the last change of its key has this position; 0 stands for
  // a key that does not exist.
  virtual std::unique_ptr<StoreCallHandle> CompareAndPut(
      const StorePut& put,
      int64_t expected_revision,
      std::function<void(StoreWrite)> callback) = 0;
  virtual std::unique_ptr<StoreCallHandle> Remove(
      const std::string& key,
      std::function<void(StoreCallStatus)> callback) = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STORE_STORE_CHANNEL_H_
