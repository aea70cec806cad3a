#ifndef EXPERIMENT_WATCHING_WATCHERS_H_
#define EXPERIMENT_WATCHING_WATCHERS_H_

#include <string>

#include "peridotmill_core/time/clock.h"

namespace peridotmill::experiment {

// Samples a node's /metrics until SIGTERM and prints the lines that
// ReadNodeLog() reads.
void WatchNode(const std::string& address, Duration interval);

// Samples an endpoint until SIGTERM and prints the lines that
// ReadEndpointLog() reads. The endpoint's load report is read only until it
// shows that the endpoint is leaving, so that later reads are the nodes'.
void WatchEndpoint(const std::string& address, Duration interval);

}  // namespace peridotmill::experiment

#endif  // EXPERIMENT_WATCHING_WATCHERS_H_
