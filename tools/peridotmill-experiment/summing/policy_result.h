#ifndef EXPERIMENT_SUMMING_POLICY_RESULT_H_
#define EXPERIMENT_SUMMING_POLICY_RESULT_H_

#include <cstdint>
#include <string>

#include "tools/peridotmill-experiment/summing/load_summary.h"
#include "tools/peridotmill-experiment/summing/metrics_text.h"

namespace peridotmill::experiment {

// Which run a result line belongs to.
struct RunName {
  std::string name;
  std::string profile;
  std::string policy;
  int64_t seed = 0;
};

// Cost by stage, refusals by reason and the nodes' reasons as a table.
std::string PolicyTable(const RunName& run,
                        const LoadSummary& load,
                        const MetricsText& metrics);

// The RESULT line of one policy, without a line end. Cost is in units of 10^6
// micro-units for each on-time answer; -1 when no answer was on time.
std::string PolicyLine(const RunName& run,
                       const LoadSummary& load,
                       const MetricsText& metrics);

}  // namespace peridotmill::experiment

#endif  // EXPERIMENT_SUMMING_POLICY_RESULT_H_
