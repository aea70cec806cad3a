#include "peridotmill_gateway/overload/priority_demands.h"

#include <algorithm>
#include <cmath>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Time after which work counts half: longer than a burst, shorter than a change
// of the traffic.
constexpr Duration kHalfLife = std::chrono::seconds(10);
// Priorities with less than this share of the work do not make others yield.
constexpr double kMinCompetingShare = 0.01;
// Share of its part of the arriving work that each priority gets of the
// starting work.
constexpr double kGuaranteedShare = 0.3;

PriorityDemand& Update(PriorityDemands& demands, int priority, TimePoint now) {
  if (now > demands.updated) {
    const double factor = std::exp2(-ToMilliseconds(now - demands.updated) /
                                    ToMilliseconds(kHalfLife));
    for (auto& [other, demand] : demands.priorities) {
      demand.arrived_seconds *= factor;
      demand.started_seconds *= factor;
      demand.arrived_requests *= factor;
    }
    demands.updated = now;
  }
  return demands.priorities[priority];
}

PriorityDemand Sum(const PriorityDemands& demands) {
  PriorityDemand sum;
  for (const auto& [priority, demand] : demands.priorities) {
    sum.arrived_seconds += demand.arrived_seconds;
    sum.started_seconds += demand.started_seconds;
  }
  return sum;
}

}  // namespace

void RecordArrival(PriorityDemands& demands,
                   int priority,
                   double pool_seconds,
                   TimePoint now) {
  PriorityDemand& demand = Update(demands, priority, now);
  demand.arrived_seconds += pool_seconds;
  ++demand.arrived_requests;
}

void RecordStart(PriorityDemands& demands,
                 int priority,
                 double pool_seconds,
                 TimePoint now) {
  Update(demands, priority, now).started_seconds += pool_seconds;
}

bool DoPrioritiesCompete(const PriorityDemands& demands) {
  if (demands.do_routes_compete) {
    return true;
  }
  const double min_seconds = kMinCompetingShare * Sum(demands).arrived_seconds;
  int count = 0;
  for (const auto& [priority, demand] : demands.priorities) {
    if (demand.arrived_seconds > 0 && demand.arrived_seconds >= min_seconds) {
      ++count;
    }
  }
  return count > 1;
}

bool IsBelowGuaranteedShare(const PriorityDemands& demands, int priority) {
  const auto found = demands.priorities.find(priority);
  if (found == demands.priorities.end() || !DoPrioritiesCompete(demands)) {
    return false;
  }
  const PriorityDemand sum = Sum(demands);
  return found->second.started_seconds * sum.arrived_seconds <
         kGuaranteedShare * found->second.arrived_seconds * sum.started_seconds;
}

bool IsAnyBelowGuaranteedShare(const PriorityDemands& demands) {
  return std::any_of(demands.priorities.begin(), demands.priorities.end(),
                     [&](const auto& entry) {
                       return IsBelowGuaranteedShare(demands, entry.first);
                     });
}

double RelativeWork(const PriorityDemands& demands,
                    int priority,
                    double pool_seconds) {
  const auto found = demands.priorities.find(priority);
  if (found == demands.priorities.end() || found->second.arrived_seconds <= 0) {
    return 1;
  }
  return pool_seconds * found->second.arrived_requests /
         found->second.arrived_seconds;
}

}  // namespace peridotmill
