#ifndef TOOLS_PERIDOTMILL_CAPACITY_MEMORY_STORE_H_
#define TOOLS_PERIDOTMILL_CAPACITY_MEMORY_STORE_H_

#include <map>
#include <string>

#include "peridotmill_core/store/store_call.h"

namespace peridotmill::capacity {

// The platform's key-value service in memory. Counts calls, and the bytes of
// keys and values as they are before base64.
class MemoryStore {
 public:
  StoreAnswer Execute(const StoreRequest& request);

  uint64_t reads() const { return reads_; }
  uint64_t writes() const { return writes_; }
  uint64_t lease_calls() const { return lease_calls_; }
  uint64_t bytes_written() const { return bytes_written_; }
  uint64_t bytes_read() const { return bytes_read_; }

 private:
  void Read(const StoreRange& range, StoreAnswer& answer);
  void Apply(const StoreTxn& txn, StoreAnswer& answer);

  std::map<std::string, StoreEntry> entries_;
  int64_t revision_ = 1;
  uint64_t reads_ = 0;
  uint64_t writes_ = 0;
  uint64_t lease_calls_ = 0;
  uint64_t bytes_written_ = 0;
  uint64_t bytes_read_ = 0;
};

}  // namespace peridotmill::capacity

#endif  // TOOLS_PERIDOTMILL_CAPACITY_MEMORY_STORE_H_
