#ifndef PERIDOTMILL_CONFIG_PARTS_OBJECT_JSON_H_
#define PERIDOTMILL_CONFIG_PARTS_OBJECT_JSON_H_

#include <nlohmann/json_fwd.hpp>

#include "peridotmill_config/objects/objects.h"

namespace peridotmill {

// JSON form of each object within a part. FromJson throws
// nlohmann::json::exception on malformed input.
nlohmann::json ToJson(const Pool& pool);
nlohmann::json ToJson(const ModelVersion& model_version);
nlohmann::json ToJson(const Stage& stage);
nlohmann::json ToJson(const Pipeline& pipeline);
nlohmann::json ToJson(const Priority& priority);
nlohmann::json ToJson(const Team& team);
nlohmann::json ToJson(const Operator& person);
nlohmann::json ToJson(const Deployment& deployment);

void FromJson(const nlohmann::json& json, Pool& pool);
void FromJson(const nlohmann::json& json, ModelVersion& model_version);
void FromJson(const nlohmann::json& json, Stage& stage);
void FromJson(const nlohmann::json& json, Pipeline& pipeline);
void FromJson(const nlohmann::json& json, Priority& priority);
void FromJson(const nlohmann::json& json, Team& team);
void FromJson(const nlohmann::json& json, Operator& person);
void FromJson(const nlohmann::json& json, Deployment& deployment);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_PARTS_OBJECT_JSON_H_
