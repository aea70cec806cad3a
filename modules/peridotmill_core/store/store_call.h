#ifndef PERIDOTMILL_CORE_STORE_STORE_CALL_H_
#define PERIDOTMILL_CORE_STORE_STORE_CALL_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace peridotmill {

// One key of the platform's key-value store with its value.
struct StoreEntry {
  std::string key;
  std::string value;
  // Store revisions at which the key was created and last modified; 0 if the
  // key does not exist.
  int64_t create_revision = 0;
  int64_t mod_revision = 0;
};

// Reads `key` if `range_end` is empty, otherwise all keys in [key, range_end)
// in ascending order.
struct StoreRange {
  std::string key;
  std::string range_end;
  // Maximum number of entries; 0 means no limit.
  int64_t limit = 0;
};

// Condition of a transaction: the key's revision equals `expected`.
struct StoreCompare {
  enum class Target : uint8_t { kCreateRevision, kModRevision };
  std::string key;
  Target target = Target::kModRevision;
  int64_t expected = 0;
};

// Writes `value` to `key`.
struct StorePut {
  std::string key;
  std::string value;
  // Id of the lease whose expiry deletes the key; 0 for none.
  int64_t lease = 0;
};

// Deletes `key` if `range_end` is empty, otherwise all keys in
// [key, range_end).
struct StoreDelete {
  std::string key;
  std::string range_end;
};

// Atomically applies `puts` and `deletes` if all `compares` hold. Otherwise
// applies nothing and returns the current entries of the compared keys.
struct StoreTxn {
  std::vector<StoreCompare> compares;
  std::vector<StorePut> puts;
  std::vector<StoreDelete> deletes;
};

// Creates a lease that expires after `ttl_seconds` unless it is renewed.
struct StoreLeaseGrant {
  int64_t ttl_seconds = 0;
};
// Renews the lease with this id.
struct StoreLeaseKeepAlive {
  int64_t lease = 0;
};

// Waits for the next change of any key in [key, range_end) after
// `after_revision`. A pending watch counts as one call.
struct StoreWatch {
  std::string key;
  std::string range_end;
  int64_t after_revision = 0;
};

using StoreRequest = std::variant<StoreRange,
                                  StoreTxn,
                                  StoreLeaseGrant,
                                  StoreLeaseKeepAlive,
                                  StoreWatch>;

// Result of a store call. kUnknown means that the call may have taken effect.
enum class StoreStatus : uint8_t { kOk, kConflict, kUnavailable, kUnknown };

// The store's response to any StoreRequest.
struct StoreAnswer {
  StoreStatus status = StoreStatus::kUnavailable;
  std::vector<StoreEntry> entries;
  // Revision of the store when it responded.
  int64_t store_revision = 0;
  // Id and time to live of the lease that was granted or renewed.
  int64_t lease = 0;
  int64_t ttl_seconds = 0;
};

// Returns the exclusive end of the key range that contains exactly the keys
// with this prefix. Returns an empty string if no such end exists.
std::string PrefixRangeEnd(std::string prefix);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_STORE_STORE_CALL_H_
