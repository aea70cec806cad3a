#include "peridotmill_config/parts/object_json.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "peridotmill_config/objects/enum_names.h"

namespace peridotmill {
namespace {

using nlohmann::json;

template <typename Id>
void Get(const json& from, const char* field, StrongId<Id>& id) {
  id = StrongId<Id>(from.at(field).get<std::string>());
}

template <typename Tag>
void Get(const json& from, const char* field, Quantity<Tag>& quantity) {
  quantity = Quantity<Tag>(from.at(field).get<int64_t>());
}

template <typename Rep, typename Period>
void Get(const json& from,
         const char* field,
         std::chrono::duration<Rep, Period>& duration) {
  duration = std::chrono::duration<Rep, Period>(from.at(field).get<int64_t>());
}

template <typename T>
void Get(const json& from, const char* field, T& value) {
  value = from.at(field).get<T>();
}

template <typename Id>
json NamesOf(const std::vector<Id>& ids) {
  json names = json::array();
  for (const Id& id : ids) {
    names.push_back(id.value());
  }
  return names;
}

template <typename Id>
void GetNames(const json& from, const char* field, std::vector<Id>& ids) {
  for (const json& name : from.at(field)) {
    ids.emplace_back(name.get<std::string>());
  }
}

json ToJson(const Price& price) {
  return {{"per_prompt_token", price.per_prompt_token.value()},
          {"per_output_token", price.per_output_token.value()},
          {"per_call", price.per_call.value()},
          {"per_second", price.per_second.value()}};
}

void FromJson(const json& from, Price& price) {
  Get(from, "per_prompt_token", price.per_prompt_token);
  Get(from, "per_output_token", price.per_output_token);
  Get(from, "per_call", price.per_call);
  Get(from, "per_second", price.per_second);
}

}  // namespace

json ToJson(const Pool& pool) {
  return {{"name", pool.name.value()},
          {"concurrency", pool.concurrency},
          {"max_queue", pool.max_queue},
          {"checks_fencing", pool.checks_fencing}};
}

void FromJson(const json& from, Pool& pool) {
  Get(from, "name", pool.name);
  Get(from, "concurrency", pool.concurrency);
  Get(from, "max_queue", pool.max_queue);
  Get(from, "checks_fencing", pool.checks_fencing);
}

json ToJson(const ModelVersion& model_version) {
  return {{"name", model_version.name.value()},
          {"model", model_version.model},
          {"version", model_version.version}};
}

void FromJson(const json& from, ModelVersion& model_version) {
  Get(from, "name", model_version.name);
  Get(from, "model", model_version.model);
  Get(from, "version", model_version.version);
}

json ToJson(const Stage& stage) {
  return {{"name", stage.name.value()},
          {"role", ToString(stage.role)},
          {"pool", stage.pool.value()},
          {"model_version", stage.model_version.value()},
          {"path", stage.path},
          {"idempotent", stage.idempotent},
          {"max_attempts", stage.max_attempts},
          {"max_output_tokens", stage.max_output_tokens},
          {"price", ToJson(stage.price)},
          {"median_ms", stage.service_time.median.count()},
          {"p95_ms", stage.service_time.p95.count()}};
}

void FromJson(const json& from, Stage& stage) {
  Get(from, "name", stage.name);
  stage.role = StageRoleFrom(from.at("role").get<std::string>())
                   .value_or(StageRole::kService);
  Get(from, "pool", stage.pool);
  Get(from, "model_version", stage.model_version);
  Get(from, "path", stage.path);
  Get(from, "idempotent", stage.idempotent);
  Get(from, "max_attempts", stage.max_attempts);
  Get(from, "max_output_tokens", stage.max_output_tokens);
  FromJson(from.at("price"), stage.price);
  Get(from, "median_ms", stage.service_time.median);
  Get(from, "p95_ms", stage.service_time.p95);
}

json ToJson(const Pipeline& pipeline) {
  json stages = json::array();
  for (const PipelineStage& member : pipeline.stages) {
    stages.push_back(
        {{"stage", member.stage.value()}, {"after", NamesOf(member.after)}});
  }
  return {{"name", pipeline.name.value()},
          {"priority", pipeline.priority.value()},
          {"deadline_ms", pipeline.deadline.count()},
          {"key_required", pipeline.key_required},
          {"stages", std::move(stages)}};
}

void FromJson(const json& from, Pipeline& pipeline) {
  Get(from, "name", pipeline.name);
  Get(from, "priority", pipeline.priority);
  Get(from, "deadline_ms", pipeline.deadline);
  Get(from, "key_required", pipeline.key_required);
  for (const json& member : from.at("stages")) {
    PipelineStage stage;
    Get(member, "stage", stage.stage);
    GetNames(member, "after", stage.after);
    pipeline.stages.push_back(std::move(stage));
  }
}

json ToJson(const Priority& priority) {
  return {{"name", priority.name.value()}, {"level", priority.level}};
}

void FromJson(const json& from, Priority& priority) {
  Get(from, "name", priority.name);
  Get(from, "level", priority.level);
}

json ToJson(const Team& team) {
  return {{"name", team.name.value()},
          {"token_sha256", team.token_sha256},
          {"share", team.share},
          {"pipelines", NamesOf(team.pipelines)}};
}

void FromJson(const json& from, Team& team) {
  Get(from, "name", team.name);
  Get(from, "token_sha256", team.token_sha256);
  Get(from, "share", team.share);
  GetNames(from, "pipelines", team.pipelines);
}

json ToJson(const Operator& person) {
  return {{"name", person.name.value()}, {"token_sha256", person.token_sha256}};
}

void FromJson(const json& from, Operator& person) {
  Get(from, "name", person.name);
  Get(from, "token_sha256", person.token_sha256);
}

json ToJson(const Deployment& deployment) {
  return {{"name", deployment.name},
          {"attainment_weight", deployment.attainment_weight},
          {"action_retention_s", deployment.action_retention.count()},
          {"policy", ToString(deployment.policy)}};
}

void FromJson(const json& from, Deployment& deployment) {
  Get(from, "name", deployment.name);
  Get(from, "attainment_weight", deployment.attainment_weight);
  Get(from, "action_retention_s", deployment.action_retention);
  deployment.policy = RoutingPolicyFrom(from.at("policy").get<std::string>())
                          .value_or(RoutingPolicy::kDefault);
}

}  // namespace peridotmill
