#ifndef PERIDOTMILL_NODE_STATE_NODE_SETTINGS_H_
#define PERIDOTMILL_NODE_STATE_NODE_SETTINGS_H_

#include <cstdint>
#include <string>

#include "peridotmill_core/peridotmill_core.h"

namespace peridotmill {

// What a node is told at its start and keeps.
struct NodeSettings {
  NodeId id;
  FailureDomainId failure_domain;
  // Address at which peers reach the node; "ip:port".
  std::string peer_address;
  // Start of the process in microseconds, mixed with random bits.
  Incarnation incarnation;
  // Seed of all random choices.
  uint64_t seed = 0;
  // Times of the two clocks at the start, to turn one into the other.
  TimePoint started_at{};
  WallTime wall_started_at{};
  // Open requests beyond this number are refused.
  size_t max_requests = 10'000;
};

// Wall-clock time at `now`.
inline WallTime WallTimeAt(const NodeSettings& settings, TimePoint now) {
  return settings.wall_started_at +
         std::chrono::duration_cast<WallTime::duration>(now -
                                                        settings.started_at);
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_STATE_NODE_SETTINGS_H_
