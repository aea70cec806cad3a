#ifndef PERIDOTMILL_CONFIG_OBJECTS_OBJECT_SET_H_
#define PERIDOTMILL_CONFIG_OBJECTS_OBJECT_SET_H_

#include <map>

#include "peridotmill_config/objects/objects.h"

namespace peridotmill {

// All objects of one configuration by name. Names are unique within a kind.
struct ObjectSet {
  std::map<PoolId, Pool> pools;
  std::map<ModelVersionId, ModelVersion> model_versions;
  std::map<StageId, Stage> stages;
  std::map<PipelineId, Pipeline> pipelines;
  std::map<PriorityId, Priority> priorities;
  std::map<TeamId, Team> teams;
  std::map<OperatorId, Operator> operators;
  Deployment deployment;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_OBJECTS_OBJECT_SET_H_
