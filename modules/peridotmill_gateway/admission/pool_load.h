#ifndef PERIDOTMILL_GATEWAY_ADMISSION_POOL_LOAD_H_
#define PERIDOTMILL_GATEWAY_ADMISSION_POOL_LOAD_H_

#include <unordered_map>
#include <vector>

#include "peridotmill_gateway/admission/admission_queue.h"

namespace peridotmill {

// Work that a pool has to do.
struct PoolLoad {
  double items = 0;
  double result_bytes = 0;

  void Add(const PlannedWork& work);
  void Add(const PoolLoad& load);
};

// Work of started requests by pool and expected end. Built once for a decision
// that asks about many requests.
class StartedLoads {
 public:
  StartedLoads(const AdmissionQueue& queue, TimePoint now);

  // Returns the work that the pool of `work` has to do before the planned end
  // of `work`.
  PoolLoad Before(const PlannedWork& work) const;
  void Add(const StartedWork& part);

 private:
  struct Entry {
    TimePoint end;
    // Sum of this entry and all earlier ones.
    PoolLoad total;
  };

  // Returns the index of the first entry that ends after `time`.
  static size_t IndexAfter(const std::vector<Entry>& loads, TimePoint time);

  TimePoint now_;
  std::unordered_map<PoolId, std::vector<Entry>> pools_;
};

// How much of the admission horizons waiting requests may fill, see StartShare.
// Built once for a decision that asks about many requests.
class StartShares {
 public:
  StartShares(const AdmissionQueue& queue,
              const PoolThroughputs& throughputs,
              TimePoint now);

  // Returns the share for a part of the work of a request with this outlook.
  double For(const PlannedWork& work, StartOutlook outlook) const;

 private:
  const PriorityDemands& demands_;
  std::unordered_map<PoolId, double> pressures_;
};

// Returns the time within which the pool of `work` has to be able to finish the
// started work, in seconds.
double AdmissionHorizonSeconds(const PlannedWork& work);

// Returns how many seconds the pool of `work` needs for `load`; 0 if no
// endpoint of the pool is known to be usable: the request is admitted
// nevertheless, and its stage task finds out.
double SecondsOfWork(const PoolLoad& load,
                     const PlannedWork& work,
                     const PoolThroughputs& throughputs);

// Predicts how many seconds `work` has to wait until `load` fits into
// `horizon_share` of its admission horizon; 0 or less when `work` need not
// wait.
double PredictWaitSeconds(const PoolLoad& load,
                          const PlannedWork& work,
                          const PoolThroughputs& throughputs,
                          double horizon_share);

// Converts between durations and seconds.
double ToSeconds(Duration duration);
Duration FromSeconds(double seconds);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_ADMISSION_POOL_LOAD_H_
