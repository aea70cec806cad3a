#ifndef PERIDOTMILL_CONFIG_DISTRIBUTION_PART_FETCHING_H_
#define PERIDOTMILL_CONFIG_DISTRIBUTION_PART_FETCHING_H_

#include "peridotmill_config/distribution/config_distribution.h"

namespace peridotmill {

// Takes in a head that somebody told; starts to fetch its parts if it is newer
// than what is in force and pending.
void ConsiderHead(ConfigDistribution& state,
                  ConfigHead head,
                  const std::string& text,
                  const NodeId& from,
                  TimePoint now,
                  DistributionCommands& commands);

// Requests missing parts as far as the pace allows: from the peer that told,
// else from the store, else from another peer.
void FetchMissing(ConfigDistribution& state,
                  TimePoint now,
                  DistributionCommands& commands);

// Puts the pending configuration in force once all parts are there.
void ApplyPendingIfComplete(ConfigDistribution& state,
                            TimePoint now,
                            DistributionCommands& commands);

// Tells peers that are behind about the applied head.
void PushHead(ConfigDistribution& state,
              const std::vector<NodeId>& peers,
              TimePoint now,
              DistributionCommands& commands);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_DISTRIBUTION_PART_FETCHING_H_
