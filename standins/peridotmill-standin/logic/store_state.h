#ifndef STANDINS_LOGIC_STORE_STATE_H_
#define STANDINS_LOGIC_STORE_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "peridotmill_core/time/clock.h"

namespace peridotmill::standin {

struct KeyValue {
  std::string key;
  std::string value;
  int64_t create_revision = 0;
  int64_t mod_revision = 0;
  int64_t version = 0;
  int64_t lease = 0;
};

// One change of a key; a deleted key carries only key and mod_revision.
struct StoreEvent {
  bool is_delete = false;
  KeyValue entry;
};

struct Lease {
  int64_t ttl_seconds = 0;
  TimePoint expiry;
  std::set<std::string> keys;
};

struct StoreState {
  int64_t revision = 1;
  std::map<std::string, KeyValue> entries;
  std::map<int64_t, Lease> leases;
  int64_t next_lease = 1000;
  // Recent changes in order; bounded by kMaxHistory.
  std::deque<StoreEvent> history;
  // Changes up to this revision are no longer in the history.
  int64_t compacted_revision = 0;
};

inline constexpr size_t kMaxHistory = 20000;
inline constexpr size_t kMaxValueBytes = 1 << 20;

// Operations as in the etcd v3 API. A range end of one zero byte means all
// keys from `key` on; an empty one means only `key`.
struct RangeOp {
  std::string key;
  std::string range_end;
  int64_t limit = 0;
  bool keys_only = false;
  bool count_only = false;
};
struct PutOp {
  std::string key;
  std::string value;
  int64_t lease = 0;
};
struct DeleteOp {
  std::string key;
  std::string range_end;
};
using StoreOp = std::variant<RangeOp, PutOp, DeleteOp>;

enum class CompareTarget : uint8_t { kVersion, kCreate, kMod, kValue };
enum class CompareResult : uint8_t { kEqual, kGreater, kLess, kNotEqual };

struct Compare {
  std::string key;
  CompareTarget target = CompareTarget::kVersion;
  CompareResult result = CompareResult::kEqual;
  int64_t number = 0;
  std::string value;
};

struct Txn {
  std::vector<Compare> compares;
  std::vector<StoreOp> success;
  std::vector<StoreOp> failure;
};

struct RangeResult {
  std::vector<KeyValue> entries;
  int64_t count = 0;
  bool has_more = false;
};
struct PutResult {};
struct DeleteResult {
  int64_t deleted = 0;
};
using OpResult = std::variant<RangeResult, PutResult, DeleteResult>;

enum class StoreError : uint8_t {
  kNone,
  kLeaseNotFound,
  kTooLarge,
  kDuplicate
};

struct TxnResult {
  StoreError error = StoreError::kNone;
  bool succeeded = false;
  std::vector<OpResult> results;
};

RangeResult Range(const StoreState& state, const RangeOp& op);

// Applies one branch as a whole, all of its changes at one revision; on an
// error nothing is applied.
TxnResult Apply(StoreState& state, const Txn& txn);

// Returns the lease's id; `id` 0 lets the store choose.
int64_t GrantLease(StoreState& state,
                   int64_t id,
                   int64_t ttl_seconds,
                   TimePoint now);

// Returns the remaining time to live, 0 if the lease does not exist.
int64_t KeepAlive(StoreState& state, int64_t id, TimePoint now);
bool RevokeLease(StoreState& state, int64_t id);

// Removes lapsed leases and their keys.
void ExpireLeases(StoreState& state, TimePoint now);
std::optional<TimePoint> NextExpiry(const StoreState& state);

// Changes in the range at or after `start_revision`, in order.
std::vector<StoreEvent> EventsFrom(const StoreState& state,
                                   const std::string& key,
                                   const std::string& range_end,
                                   int64_t start_revision);

}  // namespace peridotmill::standin

#endif  // STANDINS_LOGIC_STORE_STATE_H_
