#ifndef STANDINS_SCENARIO_SCENARIO_H_
#define STANDINS_SCENARIO_SCENARIO_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "peridotmill_core/errors/finding.h"
#include "standins/peridotmill-standin/logic/engine_scheduler.h"
#include "standins/peridotmill-standin/logic/service_queue.h"

namespace peridotmill::standin {

enum class StandInKind : uint8_t {
  kStore,
  kHosts,
  kWeights,
  kEngine,
  kService,
  // Reads and sets all stand-ins of the process.
  kAdmin,
};

// One stand-in as the scenario file lists it.
struct StandIn {
  std::string id;
  StandInKind kind = StandInKind::kService;
  std::string address;
  std::string pool;
  std::string failure_domain;
  EngineSettings engine;
  ServiceSettings service;
  // Time that each answer of a store, host list or weight store takes.
  std::chrono::milliseconds latency{1};
  // Age of load reports, cache events and the host list.
  std::chrono::milliseconds lag{500};
  double cache_event_loss = 0.02;
  bool checks_fencing = false;
  std::vector<std::string> loaded_models;
  // Whether requests for a model that is not loaded are refused.
  bool checks_model = false;
  std::chrono::milliseconds model_load{2000};
  // Address of the weight store that a load order reads; may be empty.
  std::string weights;
  // Answers per second, weight stores only.
  double rate_per_second = 2;
};

// An entry node that the host list shows.
struct EntryNode {
  std::string id;
  std::string peer_address;
  std::string failure_domain;
};

struct Scenario {
  int64_t seed = 1;
  std::vector<StandIn> stand_ins;
  std::vector<EntryNode> nodes;
};

// Reads a scenario. An entry with `count: N` stands for N stand-ins with the
// ids `id-1` to `id-N` and consecutive ports. All faults become findings.
Scenario ReadScenario(const std::string& text,
                      const std::string& file,
                      Findings& findings);

}  // namespace peridotmill::standin

#endif  // STANDINS_SCENARIO_SCENARIO_H_
