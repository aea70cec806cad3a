#ifndef TOOLS_PERIDOTMILL_CAPACITY_FLEET_INPUT_H_
#define TOOLS_PERIDOTMILL_CAPACITY_FLEET_INPUT_H_

#include <string>

#include "memory_store.h"
#include "peridotmill_config/peridotmill_config.h"
#include "peridotmill_core/peridotmill_core.h"

namespace peridotmill::capacity {

// Sizes of a fleet; the defaults are the design size.
struct FleetSize {
  int nodes = 330;
  int domains = 16;
  int endpoints = 1300;
  int teams = 30'000;
  int models = 7;
  int pipelines = 13;
};

NodeId NodeName(int node);
FailureDomainId DomainName(int domain);
std::string TeamToken(int team);

// Pipelines "pipeline-0" on are chats of one stage, except every third, which
// has four stages, and the last, which is one action that needs a key.
ObjectSet MakeObjects(const FleetSize& size);
HostList MakeHostList(const FleetSize& size);

// Publishes the objects in the store.
void Publish(MemoryStore& store, const ObjectSet& objects, Revision base);

}  // namespace peridotmill::capacity

#endif  // TOOLS_PERIDOTMILL_CAPACITY_FLEET_INPUT_H_
