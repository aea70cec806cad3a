#ifndef PERIDOTMILL_GATEWAY_RETRIES_POOL_RETRY_BUDGET_H_
#define PERIDOTMILL_GATEWAY_RETRIES_POOL_RETRY_BUDGET_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <unordered_map>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// Limits that keep the retries of all nodes together bounded.
struct PoolRetryBudgetSettings {
  // Retries allowed for each first call, over any window.
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  // Retries that this node may make in a window in addition to `ratio`. Nodes
  // do not coordinate their retries, so the allowances of all nodes together
  // must not exceed the fleet's.
  double node_allowance = 2;
  // Retries that all nodes together may make in a window in addition to
  // `ratio`.
  double fleet_allowance = 0;
};

// Share of the fleet's allowance that the coordinator of a stage pool may use.
// Up to four successive coordinators within one window stay within the
// allowance; the other nodes retry few calls to that pool.
inline constexpr double kCoordinatorAllowanceShare = 0.25;

// Returns the settings of the budget for stage calls that a node makes as
// coordinator.
inline PoolRetryBudgetSettings CoordinatorRetryBudgetSettings(
    PoolRetryBudgetSettings settings) {
  settings.node_allowance =
      std::max(settings.node_allowance,
               kCoordinatorAllowanceShare * settings.fleet_allowance);
  return settings;
}

// Fractions of a stage task's first call that the node which submits the task
// and the node which coordinates it each record in their budgets.
inline constexpr double kSubmitterFirstCallShare = 0.4;
inline constexpr double kCoordinatorFirstCallShare =
    1 - kSubmitterFirstCallShare;

// Limits the retries of one node to each pool. Counts the first calls and the
// retries over a sliding window. The limit depends only on the node's own first
// calls, so nodes need not coordinate.
class PoolRetryBudget {
 public:
  explicit PoolRetryBudget(const PoolRetryBudgetSettings& settings)
      : settings_(settings) {}

  void set_settings(const PoolRetryBudgetSettings& settings) {
    settings_ = settings;
  }

  // Records a first call. If two nodes may retry the same call, each of them
  // records a fraction of it in `share`.
  void RecordFirstCall(const PoolId& pool, TimePoint now, double share = 1) {
    AdvanceCounts(pool, now).first_calls[0] += share;
  }
  // Records `count` retries and returns true, or returns false and records
  // nothing if the budget does not allow all of them.
  bool TryTakeRetries(const PoolId& pool, int count, TimePoint now);

 private:
  // A window is divided into this many slices. Retries are summed over one
  // slice more than a window and first calls over one slice less, so that the
  // limit holds for a window at any offset from the slices.
  static constexpr size_t kSliceCount = 10;
  struct Counts {
    // Index 0 is the current slice.
    std::array<double, kSliceCount + 1> first_calls = {};
    std::array<double, kSliceCount + 1> retries = {};
    TimePoint slice_start;
  };

  // Returns the pool's counts after moving them on to the slice of `now`.
  Counts& AdvanceCounts(const PoolId& pool, TimePoint now);

  PoolRetryBudgetSettings settings_;
  std::unordered_map<PoolId, Counts> counts_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_RETRIES_POOL_RETRY_BUDGET_H_
