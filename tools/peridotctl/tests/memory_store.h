#ifndef PERIDOTCTL_TESTS_MEMORY_STORE_H_
#define PERIDOTCTL_TESTS_MEMORY_STORE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "peridotctl/config_store.h"
#include "peridotmill_config/parts/head.h"

namespace peridotmill {

// The store's ranges and transactions in memory, with faults on transactions
// that write the head.
class MemoryStore {
 public:
  // What happens to one write of the head.
  enum class Fault : uint8_t { kNone, kLostAnswer, kLostRequest, kNotSent };

  // Faults of the next writes of the head, in order.
  std::vector<Fault> faults;
  // Runs once, before or after the next write of the head.
  std::function<void()> before_head;
  std::function<void()> after_head;
  bool is_down = false;
  size_t largest_txn = 0;
  int txns = 0;

  StoreCaller Caller() {
    return [this](const StoreRequest& request) { return Call(request); };
  }

  const std::map<std::string, StoreEntry>& entries() const { return entries_; }
  void Erase(const std::string& key) { entries_.erase(key); }

 private:
  static bool WritesHead(const StoreTxn& txn) {
    return std::any_of(txn.puts.begin(), txn.puts.end(),
                       [](const StorePut& put) { return put.key == kHeadKey; });
  }

  StoreAnswer Call(const StoreRequest& request) {
    StoreAnswer answer;
    if (is_down) {
      return answer;
    }
    if (const auto* const range = std::get_if<StoreRange>(&request)) {
      return Range(*range);
    }
    if (const auto* const txn = std::get_if<StoreTxn>(&request)) {
      ++txns;
      return WritesHead(*txn) ? WriteHead(*txn) : Txn(*txn);
    }
    return answer;
  }

  StoreAnswer WriteHead(const StoreTxn& txn) {
    if (before_head) {
      std::exchange(before_head, nullptr)();
    }
    Fault fault = Fault::kNone;
    if (!faults.empty()) {
      fault = faults.front();
      faults.erase(faults.begin());
    }
    StoreAnswer answer;
    if (fault == Fault::kNone || fault == Fault::kLostAnswer) {
      answer = Txn(txn);
    }
    if (after_head) {
      std::exchange(after_head, nullptr)();
    }
    if (fault != Fault::kNone) {
      answer = {};
      answer.status = fault == Fault::kNotSent ? StoreStatus::kUnavailable
                                               : StoreStatus::kUnknown;
    }
    return answer;
  }

  StoreAnswer Range(const StoreRange& range) const {
    StoreAnswer answer;
    answer.status = StoreStatus::kOk;
    const std::string end =
        range.range_end.empty() ? range.key + '\0' : range.range_end;
    for (auto entry = entries_.lower_bound(range.key);
         entry != entries_.end() && entry->first < end; ++entry) {
      answer.entries.push_back(entry->second);
    }
    return answer;
  }

  StoreAnswer Txn(const StoreTxn& txn) {
    StoreAnswer answer;
    answer.status = StoreStatus::kOk;
    for (const StoreCompare& compare : txn.compares) {
      const auto found = entries_.find(compare.key);
      const StoreEntry entry =
          found == entries_.end() ? StoreEntry() : found->second;
      const int64_t revision =
          compare.target == StoreCompare::Target::kModRevision
              ? entry.mod_revision
              : entry.create_revision;
      if (revision != compare.expected) {
        answer.status = StoreStatus::kConflict;
      }
    }
    if (answer.status == StoreStatus::kConflict) {
      return answer;
    }
    ++revision_;
    size_t size = 0;
    for (const StorePut& put : txn.puts) {
      size += put.value.size();
      StoreEntry& entry = entries_[put.key];
      entry.key = put.key;
      entry.value = put.value;
      entry.create_revision =
          entry.create_revision == 0 ? revision_ : entry.create_revision;
      entry.mod_revision = revision_;
    }
    largest_txn = std::max(largest_txn, size);
    return answer;
  }

  std::map<std::string, StoreEntry> entries_;
  int64_t revision_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTCTL_TESTS_MEMORY_STORE_H_
