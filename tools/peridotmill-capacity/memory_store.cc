#include "memory_store.h"

#include <variant>

namespace peridotmill::capacity {

StoreAnswer MemoryStore::Execute(const StoreRequest& request) {
  StoreAnswer answer;
  answer.status = StoreStatus::kOk;
  if (const auto* range = std::get_if<StoreRange>(&request)) {
    Read(*range, answer);
  } else if (const auto* txn = std::get_if<StoreTxn>(&request)) {
    Apply(*txn, answer);
  } else if (const auto* grant = std::get_if<StoreLeaseGrant>(&request)) {
    ++lease_calls_;
    answer.lease = static_cast<int64_t>(lease_calls_);
    answer.ttl_seconds = grant->ttl_seconds;
  } else if (const auto* alive = std::get_if<StoreLeaseKeepAlive>(&request)) {
    ++lease_calls_;
    answer.lease = alive->lease;
    answer.ttl_seconds = 10;
  }
  answer.store_revision = revision_;
  return answer;
}

void MemoryStore::Read(const StoreRange& range, StoreAnswer& answer) {
  ++reads_;
  const std::string end =
      range.range_end.empty() ? range.key + '\0' : range.range_end;
  for (auto it = entries_.lower_bound(range.key);
       it != entries_.end() && it->first < end; ++it) {
    if (range.limit > 0 &&
        answer.entries.size() == static_cast<size_t>(range.limit)) {
      break;
    }
    answer.entries.push_back(it->second);
    bytes_read_ += it->first.size() + it->second.value.size();
  }
}

void MemoryStore::Apply(const StoreTxn& txn, StoreAnswer& answer) {
  ++writes_;
  for (const StoreCompare& compare : txn.compares) {
    const auto found = entries_.find(compare.key);
    const StoreEntry entry =
        found == entries_.end() ? StoreEntry() : found->second;
    const int64_t actual =
        compare.target == StoreCompare::Target::kCreateRevision
            ? entry.create_revision
            : entry.mod_revision;
    if (actual != compare.expected) {
      answer.status = StoreStatus::kConflict;
    }
    if (found != entries_.end()) {
      answer.entries.push_back(entry);
    }
  }
  if (answer.status == StoreStatus::kConflict) {
    return;
  }
  answer.entries.clear();
  ++revision_;
  for (const StoreDelete& removal : txn.deletes) {
    entries_.erase(entries_.lower_bound(removal.key),
                   entries_.lower_bound(removal.range_end));
  }
  for (const StorePut& put : txn.puts) {
    StoreEntry& entry = entries_[put.key];
    entry.key = put.key;
    entry.value = put.value;
    entry.mod_revision = revision_;
    if (entry.create_revision == 0) {
      entry.create_revision = revision_;
    }
    bytes_written_ += put.key.size() + put.value.size();
  }
}

}  // namespace peridotmill::capacity
