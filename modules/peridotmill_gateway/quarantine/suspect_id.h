#ifndef PERIDOTMILL_GATEWAY_QUARANTINE_SUSPECT_ID_H_
#define PERIDOTMILL_GATEWAY_QUARANTINE_SUSPECT_ID_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "peridotmill_gateway/calls/caller_request.h"

namespace peridotmill {

// Identifies the content of a prompt part, wherever the part stands in a
// prompt.
class SuspectId {
 public:
  SuspectId() = default;
  explicit SuspectId(uint64_t value) : value_(value) {}

  uint64_t value() const { return value_; }

  friend bool operator==(const SuspectId&, const SuspectId&) = default;
  friend auto operator<=>(const SuspectId&, const SuspectId&) = default;

 private:
  uint64_t value_ = 0;
};

// Parts of one prompt that are tracked.
inline constexpr size_t kMaxTrackedParts = 32;

// Returns the parts of a prompt that other requests may share, in prompt order:
// all but the last one, which is specific to the request.
std::vector<SuspectId> HashSharedParts(const GenerationDemand& generation);

// Returns the hash as hexadecimal digits for the event log.
std::string ToString(SuspectId part);

}  // namespace peridotmill

template <>
struct std::hash<peridotmill::SuspectId> {
  size_t operator()(peridotmill::SuspectId part) const noexcept {
    return part.value();
  }
};

#endif  // PERIDOTMILL_GATEWAY_QUARANTINE_SUSPECT_ID_H_
