#ifndef PERIDOTMILL_ACTIONS_TESTS_FAKE_STORE_H_
#define PERIDOTMILL_ACTIONS_TESTS_FAKE_STORE_H_

#include <map>
#include <string>

#include "peridotmill_core/store/store_call.h"

namespace peridotmill {

// The platform's key-value service in memory, without time and faults.
class FakeStore {
 public:
  StoreAnswer Execute(const StoreRequest& request) {
    StoreAnswer answer;
    answer.status = StoreStatus::kOk;
    if (const auto* range = std::get_if<StoreRange>(&request)) {
      Read(*range, answer);
    } else if (const auto* txn = std::get_if<StoreTxn>(&request)) {
      Apply(*txn, answer);
    }
    answer.store_revision = revision_;
    return answer;
  }

  const std::map<std::string, StoreEntry>& entries() const { return entries_; }
  std::map<std::string, StoreEntry>& entries() { return entries_; }
  int writes() const { return writes_; }

 private:
  void Read(const StoreRange& range, StoreAnswer& answer) {
    const std::string end =
        range.range_end.empty() ? range.key + '\0' : range.range_end;
    for (auto it = entries_.lower_bound(range.key);
         it != entries_.end() && it->first < end; ++it) {
      if (range.limit > 0 &&
          answer.entries.size() == static_cast<size_t>(range.limit)) {
        break;
      }
      answer.entries.push_back(it->second);
    }
  }

  void Apply(const StoreTxn& txn, StoreAnswer& answer) {
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
    }
  }

  std::map<std::string, StoreEntry> entries_;
  int64_t revision_ = 1;
  int writes_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_TESTS_FAKE_STORE_H_
