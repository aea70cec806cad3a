#ifndef EXPERIMENT_SUMMING_LOAD_SUMMARY_H_
#define EXPERIMENT_SUMMING_LOAD_SUMMARY_H_

#include <cstdint>
#include <map>
#include <string>

namespace peridotmill::experiment {

// What this tool uses of the load tool's JSON report.
struct LoadSummary {
  int64_t offered = 0;
  int64_t on_time = 0;
  int64_t broken = 0;
  int64_t not_connected = 0;
  int64_t incomplete = 0;
  int64_t misdelivered = 0;
  int64_t duplicates = -1;
  int64_t false_not_run = -1;
  std::map<std::string, int64_t> refusals_by_reason;
};

// Throws std::exception when malformed.
LoadSummary ReadLoadSummary(const std::string& json);

}  // namespace peridotmill::experiment

#endif  // EXPERIMENT_SUMMING_LOAD_SUMMARY_H_
