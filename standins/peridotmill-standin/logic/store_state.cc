#include "standins/peridotmill-standin/logic/store_state.h"

#include <algorithm>
#include <utility>

namespace peridotmill::standin {
namespace {

bool IsInRange(const std::string& candidate,
               const std::string& key,
               const std::string& range_end) {
  if (range_end.empty()) {
    return candidate == key;
  }
  const bool is_open = range_end == std::string(1, '\0');
  return candidate >= key && (is_open || candidate < range_end);
}

template <typename T>
bool Holds(CompareResult result, const T& actual, const T& expected) {
  switch (result) {
    case CompareResult::kEqual:
      return actual == expected;
    case CompareResult::kGreater:
      return actual > expected;
    case CompareResult::kLess:
      return actual < expected;
    case CompareResult::kNotEqual:
      return actual != expected;
  }
  return false;
}

// A key that does not exist compares as revision and version 0.
bool Holds(const StoreState& state, const Compare& compare) {
  const auto found = state.entries.find(compare.key);
  const KeyValue entry =
      found == state.entries.end() ? KeyValue{} : found->second;
  switch (compare.target) {
    case CompareTarget::kVersion:
      return Holds(compare.result, entry.version, compare.number);
    case CompareTarget::kCreate:
      return Holds(compare.result, entry.create_revision, compare.number);
    case CompareTarget::kMod:
      return Holds(compare.result, entry.mod_revision, compare.number);
    case CompareTarget::kValue:
      return found != state.entries.end() &&
             Holds(compare.result, entry.value, compare.value);
  }
  return false;
}

void Record(StoreState& state, StoreEvent event) {
  state.history.push_back(std::move(event));
  while (state.history.size() > kMaxHistory) {
    state.compacted_revision = state.history.front().entry.mod_revision;
    state.history.pop_front();
  }
}

void DetachLease(StoreState& state, const KeyValue& entry) {
  if (const auto lease = state.leases.find(entry.lease);
      lease != state.leases.end()) {
    lease->second.keys.erase(entry.key);
  }
}

void Put(StoreState& state, const PutOp& op, int64_t revision) {
  KeyValue& entry = state.entries[op.key];
  DetachLease(state, entry);
  if (entry.version == 0) {
    entry.key = op.key;
    entry.create_revision = revision;
  }
  entry.value = op.value;
  entry.mod_revision = revision;
  ++entry.version;
  entry.lease = op.lease;
  if (op.lease != 0) {
    state.leases.at(op.lease).keys.insert(op.key);
  }
  Record(state, {false, entry});
}

int64_t Delete(StoreState& state, const DeleteOp& op, int64_t revision) {
  int64_t deleted = 0;
  auto at = state.entries.lower_bound(op.key);
  while (at != state.entries.end() &&
         IsInRange(at->first, op.key, op.range_end)) {
    DetachLease(state, at->second);
    KeyValue removed;
    removed.key = at->first;
    removed.mod_revision = revision;
    Record(state, {true, removed});
    at = state.entries.erase(at);
    ++deleted;
  }
  return deleted;
}

StoreError Check(const StoreState& state, const std::vector<StoreOp>& ops) {
  std::set<std::string> keys;
  for (const StoreOp& op : ops) {
    const auto* put = std::get_if<PutOp>(&op);
    if (put == nullptr) {
      continue;
    }
    if (put->value.size() > kMaxValueBytes) {
      return StoreError::kTooLarge;
    }
    if (put->lease != 0 && !state.leases.contains(put->lease)) {
      return StoreError::kLeaseNotFound;
    }
    if (!keys.insert(put->key).second) {
      return StoreError::kDuplicate;
    }
  }
  return StoreError::kNone;
}

}  // namespace

RangeResult Range(const StoreState& state, const RangeOp& op) {
  RangeResult result;
  for (auto at = state.entries.lower_bound(op.key);
       at != state.entries.end() && IsInRange(at->first, op.key, op.range_end);
       ++at) {
    ++result.count;
    if (op.count_only) {
      continue;
    }
    if (op.limit > 0 &&
        static_cast<int64_t>(result.entries.size()) >= op.limit) {
      result.has_more = true;
      continue;
    }
    result.entries.push_back(at->second);
    if (op.keys_only) {
      result.entries.back().value.clear();
    }
  }
  return result;
}

TxnResult Apply(StoreState& state, const Txn& txn) {
  TxnResult result;
  result.succeeded = std::all_of(
      txn.compares.begin(), txn.compares.end(),
      [&](const Compare& compare) { return Holds(state, compare); });
  const std::vector<StoreOp>& ops =
      result.succeeded ? txn.success : txn.failure;
  result.error = Check(state, ops);
  if (result.error != StoreError::kNone) {
    return result;
  }
  const int64_t revision = state.revision + 1;
  bool has_changed = false;
  for (const StoreOp& op : ops) {
    if (const auto* range = std::get_if<RangeOp>(&op)) {
      result.results.emplace_back(Range(state, *range));
    } else if (const auto* put = std::get_if<PutOp>(&op)) {
      Put(state, *put, revision);
      has_changed = true;
      result.results.emplace_back(PutResult{});
    } else if (const auto* removal = std::get_if<DeleteOp>(&op)) {
      const int64_t deleted = Delete(state, *removal, revision);
      has_changed |= deleted > 0;
      result.results.emplace_back(DeleteResult{deleted});
    }
  }
  if (has_changed) {
    state.revision = revision;
  }
  return result;
}

int64_t GrantLease(StoreState& state,
                   int64_t id,
                   int64_t ttl_seconds,
                   TimePoint now) {
  if (id == 0) {
    id = ++state.next_lease;
  }
  Lease& lease = state.leases[id];
  lease.ttl_seconds = ttl_seconds;
  lease.expiry = now + std::chrono::seconds(ttl_seconds);
  return id;
}

int64_t KeepAlive(StoreState& state, int64_t id, TimePoint now) {
  ExpireLeases(state, now);
  const auto lease = state.leases.find(id);
  if (lease == state.leases.end()) {
    return 0;
  }
  lease->second.expiry = now + std::chrono::seconds(lease->second.ttl_seconds);
  return lease->second.ttl_seconds;
}

bool RevokeLease(StoreState& state, int64_t id) {
  const auto lease = state.leases.find(id);
  if (lease == state.leases.end()) {
    return false;
  }
  const std::set<std::string> keys = std::move(lease->second.keys);
  state.leases.erase(lease);
  if (!keys.empty()) {
    ++state.revision;
  }
  for (const std::string& key : keys) {
    Delete(state, {key, ""}, state.revision);
  }
  return true;
}

void ExpireLeases(StoreState& state, TimePoint now) {
  std::vector<int64_t> lapsed;
  for (const auto& [id, lease] : state.leases) {
    if (lease.expiry <= now) {
      lapsed.push_back(id);
    }
  }
  for (const int64_t id : lapsed) {
    RevokeLease(state, id);
  }
}

std::optional<TimePoint> NextExpiry(const StoreState& state) {
  std::optional<TimePoint> next;
  for (const auto& [id, lease] : state.leases) {
    if (!next || lease.expiry < *next) {
      next = lease.expiry;
    }
  }
  return next;
}

std::vector<StoreEvent> EventsFrom(const StoreState& state,
                                   const std::string& key,
                                   const std::string& range_end,
                                   int64_t start_revision) {
  std::vector<StoreEvent> events;
  auto at = std::lower_bound(state.history.begin(), state.history.end(),
                             start_revision,
                             [](const StoreEvent& event, int64_t revision) {
                               return event.entry.mod_revision < revision;
                             });
  for (; at != state.history.end(); ++at) {
    if (IsInRange(at->entry.key, key, range_end)) {
      events.push_back(*at);
    }
  }
  return events;
}

}  // namespace peridotmill::standin
