#include "peridotmill_gateway/pace/endpoint_pace.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

constexpr Duration kStatedPaceHalfLife = std::chrono::milliseconds(300);
constexpr double kPercent = 100;
constexpr double kMinStatedPace = 0.1;
constexpr double kMaxStatedPace = 10;

}  // namespace

void RecordStatedPace(EndpointPace& pace, int percent, TimePoint now) {
  pace.stated = std::clamp(percent / kPercent, kMinStatedPace, kMaxStatedPace);
  pace.stated_at = now;
}

double EstimateStatedPace(const EndpointPace& pace, TimePoint now) {
  if (!pace.stated_at) {
    return 1;
  }
  return 1 + (pace.stated - 1) *
                 ExponentialDecay(now - *pace.stated_at, kStatedPaceHalfLife);
}

}  // namespace peridotmill
