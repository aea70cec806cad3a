#include "peridotmill_orders/placement/wanted_placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace peridotmill {
namespace {

struct Share {
  ModelVersionId version;
  double demand = 0;
  int32_t count = 0;
  double remainder = 0;
};

}  // namespace

EngineCounts ShareOut(const std::map<ModelVersionId, double>& demand,
                      int32_t engines) {
  std::vector<Share> shares;
  for (const auto& [version, amount] : demand) {
    if (amount > 0) {
      shares.push_back({version, amount, 0, 0});
    }
  }
  std::ranges::stable_sort(shares, std::greater(), &Share::demand);
  if (shares.size() > static_cast<size_t>(std::max(engines, 0))) {
    shares.resize(static_cast<size_t>(std::max(engines, 0)));
  }
  const double total = std::accumulate(
      shares.begin(), shares.end(), 0.0,
      [](double sum, const Share& share) { return sum + share.demand; });
  // One engine each first, then the rest in proportion.
  const int32_t rest = engines - static_cast<int32_t>(shares.size());
  int32_t left = rest;
  for (Share& share : shares) {
    const double exact = rest * share.demand / total;
    share.count = 1 + static_cast<int32_t>(std::floor(exact));
    share.remainder = exact - std::floor(exact);
    left -= share.count - 1;
  }
  std::ranges::stable_sort(shares, std::greater(), &Share::remainder);
  EngineCounts counts;
  for (Share& share : shares) {
    if (left > 0) {
      ++share.count;
      --left;
    }
    counts[share.version] = share.count;
  }
  return counts;
}

void UpdateWanted(WantedPlacement& placement,
                  const EngineCounts& computed,
                  TimePoint now) {
  if (computed == placement.wanted || computed.empty()) {
    placement.candidate_since.reset();
    return;
  }
  if (!placement.candidate_since || placement.candidate != computed) {
    placement.candidate = computed;
    placement.candidate_since = now;
    return;
  }
  if (now - *placement.candidate_since >= kPlacementHysteresis) {
    placement.wanted = computed;
    placement.candidate_since.reset();
  }
}

}  // namespace peridotmill
