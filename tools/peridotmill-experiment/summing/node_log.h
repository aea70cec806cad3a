#ifndef EXPERIMENT_SUMMING_NODE_LOG_H_
#define EXPERIMENT_SUMMING_NODE_LOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotmill::experiment {

// One sample of a node. Times are wall-clock milliseconds.
struct NodeSample {
  int64_t at_ms = 0;
  bool is_up = false;
  std::string incarnation;
  int64_t revision = 0;
  // Sent and received.
  int64_t peer_bytes = 0;
};

using NodeLog = std::vector<NodeSample>;

// A publish command that succeeded.
struct Publication {
  int64_t at_ms = 0;
  int64_t revision = 0;
};

// One sample of an endpoint's counters.
struct EndpointSample {
  int64_t at_ms = 0;
  bool is_leaving = false;
  int64_t load_reads = 0;
  int64_t attempts = 0;
};

// Lines `TIME up INCARNATION REVISION BYTES` or `TIME down`.
NodeLog ReadNodeLog(const std::string& text);

// Lines `TIME REVISION`.
std::vector<Publication> ReadPublications(const std::string& text);

// Lines `TIME live|leaving LOAD_READS ATTEMPTS`.
std::vector<EndpointSample> ReadEndpointLog(const std::string& text);

// Time from a publication until the node showed its revision or a later one.
// Time before the node could last be reached again does not count, since the
// promise is for reachable nodes. Nothing when the revision was never seen.
std::optional<int64_t> InForceMs(const NodeLog& log, const Publication& one);

// Times that the revision went down within one process.
int64_t CountReverts(const NodeLog& log);

// Peer bytes for each second in which the node was up.
double PeerBytesPerSecond(const NodeLog& log);

// Time from the first load report that told a node of the leaving to the last
// attempt after it; 0 when there was none after it, -1 when no node was told.
int64_t LateNewWorkMs(const std::vector<EndpointSample>& log);

}  // namespace peridotmill::experiment

#endif  // EXPERIMENT_SUMMING_NODE_LOG_H_
