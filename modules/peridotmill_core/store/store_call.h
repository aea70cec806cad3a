#ifndef PERIDOTMILL_CORE_STORE_STORE_CALL_H_
#define PERIDOTMILL_CORE_STORE_STORE_CALL_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace peridotmill {

// One key of the platform's key-value service with its value.
struct StoreEntry {
  std::string key;
  std::string value;
  // Store revisions at which the key was created and last changed; 0 when the
  // key does not exist.
  int64_t create_revision = 0;
  int64_t mod_revision = 0;
};

// Reads `key`, or all keys in [key, range_end) in ascending order.
struct StoreRange {
  std::string key;
  std::string range_end;
  // 0 means no limit.
  int64_t limit = 0;
};

// A condition on one key's revision.
struct StoreCompare {
  enum class Target : uint8_t { kCreateRevision, kModRevision };
  std::string key;
  Target target = Target::kModRevision;
  int64_t expected = 0;
};

struct StorePut {
  std::string key;
  std::string value;
  // Lease that removes the key when it lapses; 0 for none.
  int64_t lease = 0;
};

struct StoreDelete {
  std::string key;
  std::string range_end;
};

// Applies `puts` and `deletes` if all `compares` hold; otherwise applies
// nothing and returns the current entries of the compared keys.
struct StoreTxn {
  std::vector<StoreCompare> compares;
  std::vector<StorePut> puts;
  std::vector<StoreDelete> deletes;
};

struct StoreLeaseGrant {
  int64_t ttl_seconds = 0;
};
struct StoreLeaseKeepAlive {
  int64_t lease = 0;
};

// Reports the next change of any key in [key, range_end) after
// `after_revision`; a waiting watch counts as one call.
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

// What is known after a call. kUnknown: the call may have taken effect.
enum class StoreStatus : uint8_t { kOk, kConflict, kUnavailable, kUnknown };

struct StoreAnswer {
  StoreStatus status = StoreStatus::kUnavailable;
  std::vector<StoreEntry> entries;
  // Revision of the store when it answered.
  int64_t store_revision = 0;
  int64_t lease = 0;
  int64_t ttl_seconds = 0;
};

// End of the key range that holds exactly the keys with this prefix.
std::string PrefixRangeEnd(std::string prefix);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_STORE_STORE_CALL_H_
