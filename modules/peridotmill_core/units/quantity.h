#ifndef PERIDOTMILL_CORE_UNITS_QUANTITY_H_
#define PERIDOTMILL_CORE_UNITS_QUANTITY_H_

#include <compare>
#include <cstdint>

namespace peridotmill {

// A signed 64-bit count of one unit, which `Tag` names. The compiler rejects
// operations on quantities of different units.
template <typename Tag>
class Quantity {
 public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(int64_t value) : value_(value) {}

  constexpr int64_t value() const { return value_; }

  constexpr Quantity& operator+=(Quantity other) {
    value_ += other.value_;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) {
    value_ -= other.value_;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity a, Quantity b) {
    return Quantity(a.value_ + b.value_);
  }
  friend constexpr Quantity operator-(Quantity a, Quantity b) {
    return Quantity(a.value_ - b.value_);
  }
  friend constexpr Quantity operator*(Quantity a, int64_t factor) {
    return Quantity(a.value_ * factor);
  }
  friend constexpr bool operator==(Quantity, Quantity) = default;
  friend constexpr auto operator<=>(Quantity, Quantity) = default;

 private:
  int64_t value_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_UNITS_QUANTITY_H_
