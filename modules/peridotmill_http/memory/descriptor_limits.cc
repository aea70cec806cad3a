#include "peridotmill_http/memory/descriptor_limits.h"

#include <algorithm>

namespace peridotmill {
namespace {

// Descriptors that callers leave free.
constexpr size_t kReservedFromCallers = 600;
// Descriptors that neither callers nor calls to endpoints take.
constexpr size_t kReserved = 300;
constexpr size_t kReservedDivisor = 4;

}  // namespace

DescriptorLimits PlanDescriptors(size_t max_descriptors) {
  return {.max_callers = max_descriptors > 2 * kReservedFromCallers
                             ? max_descriptors - kReservedFromCallers
                             : max_descriptors / 2,
          .max_callers_and_calls =
              max_descriptors -
              std::min(kReserved, max_descriptors / kReservedDivisor)};
}

}  // namespace peridotmill
