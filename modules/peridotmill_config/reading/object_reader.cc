#include "peridotmill_config/reading/object_reader.h"

#include <functional>
#include <utility>

#include "peridotmill_config/objects/enum_names.h"
#include "peridotmill_config/reading/field_reader.h"

namespace peridotmill {
namespace {

// Reads a sequence of names into ids.
template <typename Id>
void ReadIds(FieldReader& reader, const char* field, std::vector<Id>& ids) {
  reader.ReadSequence(field, [&](const YAML::Node& node, const InputLocation&) {
    std::string name;
    if (!node.IsScalar() || !YAML::convert<std::string>::decode(node, name)) {
      reader.Report(field, "expected names");
      return;
    }
    ids.emplace_back(name);
  });
}

void ReadPrice(FieldReader& reader, const char* field, MicroUnits& price) {
  int64_t value = price.value();
  reader.Read(field, value, 0);
  price = MicroUnits(value);
}

void ReadPool(FieldReader& reader, Pool& pool) {
  reader.Read("concurrency", pool.concurrency, 1);
  reader.Read("max_queue", pool.max_queue, 0);
  reader.Read("checks_fencing", pool.checks_fencing);
}

void ReadModelVersion(FieldReader& reader, ModelVersion& model_version) {
  reader.Read("model", model_version.model);
  reader.Read("version", model_version.version);
}

void ReadStage(FieldReader& reader, Stage& stage) {
  std::string role;
  reader.Read("role", role);
  if (const auto known = StageRoleFrom(role)) {
    stage.role = *known;
  } else {
    reader.Report("role",
                  "must be encode, retrieve, rerank, generate or service");
  }
  reader.ReadId("pool", stage.pool);
  reader.ReadId("model_version", stage.model_version);
  reader.Read("path", stage.path);
  reader.Read("idempotent", stage.idempotent);
  reader.Read("max_attempts", stage.max_attempts, 1);
  reader.Read("max_output_tokens", stage.max_output_tokens, 1);
  reader.ReadMapping("price", [&](FieldReader& price) {
    ReadPrice(price, "per_prompt_token", stage.price.per_prompt_token);
    ReadPrice(price, "per_output_token", stage.price.per_output_token);
    ReadPrice(price, "per_call", stage.price.per_call);
    ReadPrice(price, "per_second", stage.price.per_second);
  });
  reader.ReadMapping("service_time", [&](FieldReader& time) {
    time.ReadDuration("median_ms", stage.service_time.median, 1);
    time.ReadDuration("p95_ms", stage.service_time.p95, 1);
  });
}

void ReadPipeline(FieldReader& reader, Findings& findings, Pipeline& pipeline) {
  reader.ReadId("priority", pipeline.priority);
  reader.ReadDuration("deadline_ms", pipeline.deadline, 1);
  reader.Read("key_required", pipeline.key_required);
  reader.ReadSequence(
      "stages", [&](const YAML::Node& node, const InputLocation& place) {
        if (!node.IsMap()) {
          findings.push_back({place, "expected a mapping with `stage`"});
          return;
        }
        PipelineStage stage;
        FieldReader fields(node, place, findings);
        fields.ReadId("stage", stage.stage);
        ReadIds(fields, "after", stage.after);
        fields.ReportUnknownFields();
        pipeline.stages.push_back(std::move(stage));
      });
}

void ReadTeam(FieldReader& reader, Team& team) {
  constexpr double kMaxShare = 1e6;
  reader.Read("token_sha256", team.token_sha256);
  reader.Read("share", team.share, 0.001, kMaxShare);
  ReadIds(reader, "pipelines", team.pipelines);
}

void ReadDeployment(FieldReader& reader, Deployment& deployment) {
  reader.Read("attainment_weight", deployment.attainment_weight, 0.0, 1.0);
  reader.ReadDuration("action_retention_s", deployment.action_retention, 1);
  std::string policy(ToString(deployment.policy));
  reader.Read("policy", policy);
  if (const auto known = RoutingPolicyFrom(policy)) {
    deployment.policy = *known;
  } else {
    reader.Report("policy", "unknown routing policy");
  }
}

// Inserts a named object after `read` has filled it in.
template <typename Map, typename Read>
void ReadNamed(FieldReader& reader,
               const std::string& name,
               Map& map,
               const Read& read) {
  typename Map::mapped_type object;
  object.name = typename Map::key_type(name);
  read(reader, object);
  map.insert_or_assign(object.name, std::move(object));
}

class DocumentReader {
 public:
  DocumentReader(const std::string& file,
                 ObjectSet& objects,
                 ObjectPlaces& places,
                 Findings& findings)
      : file_(file), objects_(objects), places_(places), findings_(findings) {}

  void ReadDocument(const YAML::Node& node) {
    if (node.IsNull()) {
      return;
    }
    InputLocation place{file_, LineOf(node), "", ""};
    if (!node.IsMap()) {
      findings_.push_back({place, "expected a mapping with `kind` and `name`"});
      return;
    }
    std::string kind;
    std::string name;
    FieldReader head(node, place, findings_);
    head.Read("kind", kind);
    head.Read("name", name);
    if (name.empty()) {
      head.Report("name", "missing");
      return;
    }
    place.object = kind + "/" + name;
    // Another file of the set may have brought the one Deployment.
    const auto other = places_.lower_bound("Deployment/");
    const bool has_deployment =
        other != places_.end() && other->first.rfind("Deployment/", 0) == 0;
    if (!places_.emplace(place.object, place).second) {
      findings_.push_back({place, "name is used twice"});
      return;
    }
    if (kind == "Deployment" && has_deployment) {
      findings_.push_back({place, "only one Deployment is allowed"});
      return;
    }
    FieldReader reader(node, place, findings_);
    reader.Read("kind", kind);
    reader.Read("name", name);
    if (ReadKind(reader, kind, name)) {
      reader.ReportUnknownFields();
    }
  }

 private:
  bool ReadKind(FieldReader& reader,
                const std::string& kind,
                const std::string& name) {
    if (kind == "Pool") {
      ReadNamed(reader, name, objects_.pools, ReadPool);
    } else if (kind == "ModelVersion") {
      ReadNamed(reader, name, objects_.model_versions, ReadModelVersion);
    } else if (kind == "Stage") {
      ReadNamed(reader, name, objects_.stages, ReadStage);
    } else if (kind == "Pipeline") {
      ReadNamed(reader, name, objects_.pipelines,
                [this](FieldReader& fields, Pipeline& pipeline) {
                  ReadPipeline(fields, findings_, pipeline);
                });
    } else if (kind == "Priority") {
      ReadNamed(reader, name, objects_.priorities,
                [](FieldReader& fields, Priority& priority) {
                  fields.Read("level", priority.level, 0);
                });
    } else if (kind == "Team") {
      ReadNamed(reader, name, objects_.teams, ReadTeam);
    } else if (kind == "Operator") {
      ReadNamed(reader, name, objects_.operators,
                [](FieldReader& fields, Operator& person) {
                  fields.Read("token_sha256", person.token_sha256);
                });
    } else if (kind == "Deployment") {
      objects_.deployment.name = name;
      ReadDeployment(reader, objects_.deployment);
    } else {
      reader.Report("kind", "unknown kind `" + kind + "`");
      return false;
    }
    return true;
  }

  const std::string& file_;
  ObjectSet& objects_;
  ObjectPlaces& places_;
  Findings& findings_;
};

}  // namespace

void ReadObjects(const std::string& text,
                 const std::string& file,
                 ObjectSet& objects,
                 ObjectPlaces& places,
                 Findings& findings) {
  DocumentReader reader(file, objects, places, findings);
  try {
    for (const YAML::Node& document : YAML::LoadAll(text)) {
      reader.ReadDocument(document);
    }
  } catch (const YAML::Exception& error) {
    findings.push_back({{file, error.mark.line + 1, "", ""}, error.msg});
  }
}

}  // namespace peridotmill
