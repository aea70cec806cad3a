#include "peridotmill_config/reading/object_writer.h"

#include <yaml-cpp/yaml.h>

#include <array>
#include <charconv>
#include <string_view>
#include <vector>

#include "peridotmill_config/objects/enum_names.h"

namespace peridotmill {
namespace {

template <typename T>
void Field(YAML::Emitter& out, const char* name, const T& value) {
  out << YAML::Key << name << YAML::Value << value;
}

void Field(YAML::Emitter& out, const char* name, std::string_view value) {
  out << YAML::Key << name << YAML::Value << std::string(value);
}

// The shortest digits that read back as the same number.
void Field(YAML::Emitter& out, const char* name, double value) {
  std::array<char, 32> digits;
  const auto result =
      std::to_chars(digits.data(), digits.data() + digits.size(), value);
  Field(out, name,
        std::string_view(digits.data(),
                         static_cast<size_t>(result.ptr - digits.data())));
}

template <typename Id>
void Names(YAML::Emitter& out, const char* name, const std::vector<Id>& ids) {
  if (ids.empty()) {
    return;
  }
  out << YAML::Key << name << YAML::Value << YAML::Flow << YAML::BeginSeq;
  for (const Id& id : ids) {
    out << id.value();
  }
  out << YAML::EndSeq;
}

void WriteFields(YAML::Emitter& out, const Pool& pool) {
  Field(out, "concurrency", pool.concurrency);
  Field(out, "max_queue", pool.max_queue);
  Field(out, "checks_fencing", pool.checks_fencing);
}

void WriteFields(YAML::Emitter& out, const ModelVersion& model_version) {
  Field(out, "model", model_version.model);
  Field(out, "version", model_version.version);
}

void WriteFields(YAML::Emitter& out, const Stage& stage) {
  Field(out, "role", ToString(stage.role));
  Field(out, "pool", stage.pool.value());
  if (!stage.model_version.empty()) {
    Field(out, "model_version", stage.model_version.value());
  }
  Field(out, "path", stage.path);
  Field(out, "idempotent", stage.idempotent);
  Field(out, "max_attempts", stage.max_attempts);
  Field(out, "max_output_tokens", stage.max_output_tokens);
  out << YAML::Key << "price" << YAML::Value << YAML::Flow << YAML::BeginMap;
  Field(out, "per_prompt_token", stage.price.per_prompt_token.value());
  Field(out, "per_output_token", stage.price.per_output_token.value());
  Field(out, "per_call", stage.price.per_call.value());
  Field(out, "per_second", stage.price.per_second.value());
  out << YAML::EndMap;
  out << YAML::Key << "service_time" << YAML::Value << YAML::Flow
      << YAML::BeginMap;
  Field(out, "median_ms", stage.service_time.median.count());
  Field(out, "p95_ms", stage.service_time.p95.count());
  out << YAML::EndMap;
}

void WriteFields(YAML::Emitter& out, const Pipeline& pipeline) {
  Field(out, "priority", pipeline.priority.value());
  Field(out, "deadline_ms", pipeline.deadline.count());
  Field(out, "key_required", pipeline.key_required);
  out << YAML::Key << "stages" << YAML::Value << YAML::BeginSeq;
  for (const PipelineStage& member : pipeline.stages) {
    out << YAML::BeginMap;
    Field(out, "stage", member.stage.value());
    Names(out, "after", member.after);
    out << YAML::EndMap;
  }
  out << YAML::EndSeq;
}

void WriteFields(YAML::Emitter& out, const Priority& priority) {
  Field(out, "level", priority.level);
}

void WriteFields(YAML::Emitter& out, const Team& team) {
  Field(out, "token_sha256", team.token_sha256);
  Field(out, "share", team.share);
  Names(out, "pipelines", team.pipelines);
}

void WriteFields(YAML::Emitter& out, const Operator& person) {
  Field(out, "token_sha256", person.token_sha256);
}

void WriteFields(YAML::Emitter& out, const Deployment& deployment) {
  Field(out, "attainment_weight", deployment.attainment_weight);
  Field(out, "action_retention_s", deployment.action_retention.count());
  Field(out, "policy", ToString(deployment.policy));
}

template <typename Object>
void WriteDocument(YAML::Emitter& out,
                   const char* kind,
                   std::string_view name,
                   const Object& object) {
  out << YAML::BeginDoc << YAML::BeginMap;
  Field(out, "kind", kind);
  Field(out, "name", name);
  WriteFields(out, object);
  out << YAML::EndMap;
}

template <typename Map>
void WriteMap(YAML::Emitter& out, const char* kind, const Map& map) {
  for (const auto& [name, object] : map) {
    WriteDocument(out, kind, name.value(), object);
  }
}

}  // namespace

std::string WriteObjects(const ObjectSet& objects) {
  YAML::Emitter out;
  WriteDocument(out, "Deployment", objects.deployment.name, objects.deployment);
  WriteMap(out, "Priority", objects.priorities);
  WriteMap(out, "Pool", objects.pools);
  WriteMap(out, "ModelVersion", objects.model_versions);
  WriteMap(out, "Stage", objects.stages);
  WriteMap(out, "Pipeline", objects.pipelines);
  WriteMap(out, "Operator", objects.operators);
  WriteMap(out, "Team", objects.teams);
  return std::string(out.c_str()) + "\n";
}

}  // namespace peridotmill
