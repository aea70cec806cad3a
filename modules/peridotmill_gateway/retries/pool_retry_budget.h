#ifndef PERIDOTMILL_GATEWAY_RETRIES_POOL_RETRY_BUDGET_H_
#define PERIDOTMILL_GATEWAY_RETRIES_POOL_RETRY_BUDGET_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <unordered_map>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// Limit on repeated calls that all nodes together keep.
struct PoolRetryBudgetSettings {
  // Repeats allowed for each first call, over any window.
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  // Repeats that a node may make beyond its ratio. Nodes spend without asking
  // one another, so the sum over all nodes stays within the fleet's allowance.
  double node_allowance = 2;
  // Repeats that the fleet may make beyond the ratio.
  double fleet_allowance = 0;
};

// Share of the fleet's allowance that the coordinator of a stage pool takes.
// Four coordinators that follow one another within a window stay within it; the
// other nodes repeat little there.
inline constexpr double kCoordinatorAllowanceShare = 0.25;

// Settings for the budget of a node's coordinated stage calls.
inline PoolRetryBudgetSettings CoordinatorRetryBudgetSettings(
    PoolRetryBudgetSettings settings) {
  settings.node_allowance =
      std::max(settings.node_allowance,
               kCoordinatorAllowanceShare * settings.fleet_allowance);
  return settings;
}

// Shares of a stage task's first call that count for the node that asks for it
// and for the one that coordinates it.
inline constexpr double kAskingShare = 0.4;
inline constexpr double kCoordinatorFirstCallShare = 1 - kAskingShare;

// Counts first and repeated calls of one node to each pool over a sliding
// window. A node spends only what its own first calls have earned, and so needs
// no agreement with the others.
class PoolRetryBudget {
 public:
  explicit PoolRetryBudget(const PoolRetryBudgetSettings& settings)
      : settings_(settings) {}

  void set_settings(const PoolRetryBudgetSettings& settings) {
    settings_ = settings;
  }

  // Counts a first call. Where two nodes may repeat one, each counts a share.
  void RecordFirstCall(const PoolId& pool, TimePoint now, double share = 1) {
    CountsOf(pool, now).first[0] += share;
  }
  // Withdraws for `count` repeats; false when the budget does not allow them.
  bool TryTakeRetries(const PoolId& pool, int count, TimePoint now);

 private:
  // Slices of a window. One more than a window is kept for repeats and one less
  // for first calls, so that any alignment of the window is within the limit.
  static constexpr size_t kSlices = 10;
  struct Counts {
    // The slice at 0 is the current one.
    std::array<double, kSlices + 1> first = {};
    std::array<double, kSlices + 1> repeated = {};
    TimePoint slice_start;
  };

  Counts& CountsOf(const PoolId& pool, TimePoint now);

  PoolRetryBudgetSettings settings_;
  std::unordered_map<PoolId, Counts> counts_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_RETRIES_POOL_RETRY_BUDGET_H_
