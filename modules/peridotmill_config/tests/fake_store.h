#ifndef PERIDOTMILL_CONFIG_TESTS_FAKE_STORE_H_
#define PERIDOTMILL_CONFIG_TESTS_FAKE_STORE_H_

#include <map>
#include <string>
#include <variant>

#include "peridotmill_core/store/store_call.h"

namespace peridotmill {

// Keys with revisions in memory, after the interface of store_call.h.
class FakeStore {
 public:
  StoreAnswer Apply(const StoreRequest& request) {
    StoreAnswer answer;
    answer.status = StoreStatus::kOk;
    if (const auto* range = std::get_if<StoreRange>(&request)) {
      Read(*range, answer);
    } else if (const auto* txn = std::get_if<StoreTxn>(&request)) {
      Write(*txn, answer);
    }
    answer.store_revision = revision_;
    return answer;
  }

  const std::map<std::string, StoreEntry>& entries() const { return entries_; }
  size_t largest_txn() const { return largest_txn_; }
  size_t most_operations() const { return most_operations_; }

 private:
  void Read(const StoreRange& range, StoreAnswer& answer) const {
    for (auto it = entries_.lower_bound(range.key); it != entries_.end();
         ++it) {
      const bool is_inside = range.range_end.empty()
                                 ? it->first == range.key
                                 : it->first < range.range_end;
      const bool is_full =
          range.limit > 0 &&
          static_cast<int64_t>(answer.entries.size()) >= range.limit;
      if (!is_inside || is_full) {
        break;
      }
      answer.entries.push_back(it->second);
    }
  }

  void Write(const StoreTxn& txn, StoreAnswer& answer) {
    size_t bytes = 0;
    for (const StorePut& put : txn.puts) {
      bytes += (put.key.size() + put.value.size()) * 4 / 3;
    }
    largest_txn_ = std::max(largest_txn_, bytes);
    most_operations_ = std::max(most_operations_, txn.puts.size());
    for (const StoreCompare& compare : txn.compares) {
      const auto found = entries_.find(compare.key);
      const int64_t actual =
          found == entries_.end() ? 0 : found->second.mod_revision;
      if (actual != compare.expected) {
        answer.status = StoreStatus::kConflict;
        return;
      }
    }
    ++revision_;
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
  size_t largest_txn_ = 0;
  size_t most_operations_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_TESTS_FAKE_STORE_H_
