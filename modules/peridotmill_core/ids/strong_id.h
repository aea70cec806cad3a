#ifndef PERIDOTMILL_CORE_IDS_STRONG_ID_H_
#define PERIDOTMILL_CORE_IDS_STRONG_ID_H_

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace peridotmill {

// A string identifier with a type of its own, so that the compiler rejects an
// identifier of another kind. `Tag` is an incomplete type that names the kind.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}
  explicit StrongId(std::string_view value) : value_(value) {}
  explicit StrongId(const char* value) : value_(value) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend bool operator==(const StrongId&, const StrongId&) = default;
  friend auto operator<=>(const StrongId&, const StrongId&) = default;

 private:
  std::string value_;
};

}  // namespace peridotmill

template <typename Tag>
struct std::hash<peridotmill::StrongId<Tag>> {
  size_t operator()(const peridotmill::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // PERIDOTMILL_CORE_IDS_STRONG_ID_H_
