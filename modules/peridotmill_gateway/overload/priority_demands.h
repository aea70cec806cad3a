#ifndef PERIDOTMILL_GATEWAY_OVERLOAD_PRIORITY_DEMANDS_H_
#define PERIDOTMILL_GATEWAY_OVERLOAD_PRIORITY_DEMANDS_H_

#include <map>

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// Recent work of the requests of one priority, in seconds of the time of whole
// pools. Older work counts less.
struct PriorityDemand {
  double arrived_seconds = 0;
  double started_seconds = 0;
  // Number of requests that arrived.
  double arrived_requests = 0;
};

// Recent demand on a group of pools by priority; 0 is the most urgent.
struct PriorityDemands {
  std::map<int, PriorityDemand> priorities;
  TimePoint updated;
  // Routes of several priorities share the pools, although the teams of the
  // present callers may all have the same.
  bool do_routes_compete = false;
};

// Records that a request whose work takes `pool_seconds` has arrived, or has
// started.
void RecordArrival(PriorityDemands& demands,
                   int priority,
                   double pool_seconds,
                   TimePoint now);
void RecordStart(PriorityDemands& demands,
                 int priority,
                 double pool_seconds,
                 TimePoint now);

// Returns whether requests of several priorities share the pools. Only then do
// some yield to others by priority.
bool DoPrioritiesCompete(const PriorityDemands& demands);

// Returns whether fewer requests of a priority have started than are guaranteed
// to start. Handles overload that lasts: without a guaranteed share, the least
// urgent requests would not be served while urgent ones alone exceed the
// capacity.
bool IsBelowGuaranteedShare(const PriorityDemands& demands, int priority);
bool IsAnyBelowGuaranteedShare(const PriorityDemands& demands);

// Returns how many times the usual work of its priority a request needs.
double RelativeWork(const PriorityDemands& demands,
                    int priority,
                    double pool_seconds);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_OVERLOAD_PRIORITY_DEMANDS_H_
