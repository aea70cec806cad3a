#ifndef PERIDOTMILL_CONFIG_OBJECTS_OBJECTS_H_
#define PERIDOTMILL_CONFIG_OBJECTS_OBJECTS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/units/units.h"

namespace peridotmill {

// What a stage costs. All prices are per single unit.
struct Price {
  MicroUnits per_prompt_token;
  MicroUnits per_output_token;
  MicroUnits per_call;
  MicroUnits per_second;
};

// What the operators expect of a stage before anything was measured.
struct ServiceTimePrior {
  std::chrono::milliseconds median{50};
  std::chrono::milliseconds p95{200};
};

enum class StageRole : uint8_t {
  kEncode,
  kRetrieve,
  kRerank,
  kGenerate,
  kService,
};

// A set of interchangeable endpoints.
struct Pool {
  PoolId name;
  // Requests that one endpoint can run at the same time, as a first guess.
  int32_t concurrency = 8;
  // Requests that may wait for this pool in one node.
  int32_t max_queue = 256;
  // Whether the pool's endpoints refuse orders with an old fencing number.
  bool checks_fencing = false;
};

struct ModelVersion {
  ModelVersionId name;
  std::string model;
  std::string version;
};

// One call to a pool.
struct Stage {
  StageId name;
  StageRole role = StageRole::kService;
  PoolId pool;
  // Set for kGenerate only.
  ModelVersionId model_version;
  // Path of the call on the endpoint; engines use the chat path.
  std::string path = "/call";
  // Whether running the call twice has the effect of running it once.
  bool idempotent = true;
  int32_t max_attempts = 3;
  int32_t max_output_tokens = 512;
  Price price;
  ServiceTimePrior service_time;
};

// A stage within a pipeline, started when all of `after` are complete.
struct PipelineStage {
  StageId stage;
  std::vector<StageId> after;
};

struct Pipeline {
  PipelineId name;
  PriorityId priority;
  std::chrono::milliseconds deadline{4000};
  std::vector<PipelineStage> stages;
  // Whether callers must give an Idempotency-Key.
  bool key_required = false;
};

struct Priority {
  PriorityId name;
  // 0 is served first.
  int32_t level = 1;
};

struct Team {
  TeamId name;
  // SHA-256 of the bearer token, 64 hexadecimal digits.
  std::string token_sha256;
  // Relative share of a saturated pool.
  double share = 1.0;
  // Pipelines that the team may use; empty means all.
  std::vector<PipelineId> pipelines;
};

struct Operator {
  OperatorId name;
  std::string token_sha256;
};

// Which decisions of the data path are used; kDefault is the product's own.
enum class RoutingPolicy : uint8_t {
  kDefault,
  kRoundRobin,
  kLeastLoad,
  kNoAdmission,
  kRetryAnywhere,
};

// Settings of the whole deployment; exactly one object.
struct Deployment {
  std::string name = "default";
  // 0 weighs only cost, 1 weighs only attainment.
  double attainment_weight = 0.5;
  std::chrono::seconds action_retention{3600};
  RoutingPolicy policy = RoutingPolicy::kDefault;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_OBJECTS_OBJECTS_H_
