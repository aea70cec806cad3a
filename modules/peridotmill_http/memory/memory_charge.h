#ifndef PERIDOTMILL_HTTP_MEMORY_MEMORY_CHARGE_H_
#define PERIDOTMILL_HTTP_MEMORY_MEMORY_CHARGE_H_

#include <cstddef>
#include <utility>

#include "peridotmill_http/memory/memory_budget.h"

namespace peridotmill {

// Bytes that one holder takes from a budget until the charge is destroyed.
class MemoryCharge {
 public:
  // `budget` may be null: the charge then always fits.
  explicit MemoryCharge(MemoryBudget* budget) : budget_(budget) {}
  MemoryCharge(MemoryCharge&& other) noexcept
      : budget_(other.budget_), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&&) = delete;
  ~MemoryCharge() { Set(0); }

  // Changes the charge to `bytes` if that fits into the budget.
  bool TrySet(size_t bytes) {
    if (MissingBytes(bytes) > 0) {
      return false;
    }
    Set(bytes);
    return true;
  }

  // Returns how many bytes others must free until TrySet(bytes) succeeds.
  size_t MissingBytes(size_t bytes) const {
    if (budget_ == nullptr || bytes <= bytes_) {
      return 0;
    }
    return MissingMemory(budget_->limits_, budget_->used_bytes_, bytes,
                         bytes - bytes_);
  }

  // Changes the charge, also beyond the budget.
  void Set(size_t bytes) {
    // A charge of nothing may outlive the budget.
    if (budget_ != nullptr && bytes != bytes_) {
      budget_->Subtract(bytes_);
      budget_->Add(bytes);
    }
    bytes_ = bytes;
  }

  size_t bytes() const { return bytes_; }

 private:
  MemoryBudget* budget_;
  size_t bytes_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_MEMORY_MEMORY_CHARGE_H_
