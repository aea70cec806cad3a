#ifndef EXPERIMENT_SUMMING_FLEET_RESULT_H_
#define EXPERIMENT_SUMMING_FLEET_RESULT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tools/peridotmill-experiment/summing/load_summary.h"
#include "tools/peridotmill-experiment/summing/node_log.h"

namespace peridotmill::experiment {

// Everything that a fleet experiment measured.
struct FleetRun {
  std::string name;
  int64_t seed = 0;
  LoadSummary load;
  std::map<std::string, NodeLog> nodes;
  std::vector<Publication> publications;
  // Empty when no endpoint was watched.
  std::vector<EndpointSample> endpoint;
  int64_t store_calls = 0;
  int64_t elapsed_ms = 0;
};

// Calls of the store in the stand-ins' `/stand-in/counts` answer. Throws
// std::exception when malformed.
int64_t CountStoreCalls(const std::string& json);

// One row for each publication: the slowest node and nodes that never showed
// the revision.
std::string FleetTable(const FleetRun& run);

// The RESULT line, without a line end. -1 stands for "not measured". In force
// is the time of the slowest node; a node that never showed a revision counts
// with the time from its publication to the end of the samples.
std::string FleetLine(const FleetRun& run);

}  // namespace peridotmill::experiment

#endif  // EXPERIMENT_SUMMING_FLEET_RESULT_H_
