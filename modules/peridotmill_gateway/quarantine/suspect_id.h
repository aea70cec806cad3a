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

// Identifies what may crash endpoints: a part that prompts share, wherever it
// stands in them, or a whole request that comes again under new ids.
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

// A cheap hash that is the same for repetitions of a request.
using RequestFingerprint = uint16_t;

// Returns the fingerprint of a request. Doesn't read its body.
RequestFingerprint ComputeFingerprint(const TeamId& team,
                                      const CallerRequest& request);

// Identifies a whole request by its team, host, method, target and body. Costs
// a SHA-256 of the body, so that no caller can make a request that is taken for
// another one's. The highest bits are the fingerprint.
SuspectId IdentifyRequest(const TeamId& team, const CallerRequest& request);

// Returns the lowest id of a request with this fingerprint, and the fingerprint
// of a request's id.
SuspectId LowestIdWith(RequestFingerprint fingerprint);
RequestFingerprint FingerprintOf(SuspectId request);

// Returns the id as hexadecimal digits.
std::string ToString(SuspectId id);

}  // namespace peridotmill

template <>
struct std::hash<peridotmill::SuspectId> {
  size_t operator()(peridotmill::SuspectId id) const noexcept {
    return id.value();
  }
};

#endif  // PERIDOTMILL_GATEWAY_QUARANTINE_SUSPECT_ID_H_
