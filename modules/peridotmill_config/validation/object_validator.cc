#include "peridotmill_config/validation/object_validator.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <utility>

#include "peridotmill_config/objects/critical_path.h"

namespace peridotmill {
namespace {

constexpr size_t kSha256Digits = 64;
constexpr double kMinShare = 0.001;
constexpr double kMaxShare = 1e6;

class Validator {
 public:
  Validator(const ObjectSet& objects, const ObjectPlaces& places)
      : objects_(objects), places_(places) {}

  Findings Run() {
    for (const auto& [name, pool] : objects_.pools) {
      const std::string object = "Pool/" + name.value();
      RequireAtLeast(object, "concurrency", pool.concurrency, 1);
      RequireAtLeast(object, "max_queue", pool.max_queue, 0);
    }
    for (const auto& [name, priority] : objects_.priorities) {
      RequireAtLeast("Priority/" + name.value(), "level", priority.level, 0);
    }
    CheckDeployment(objects_.deployment);
    for (const auto& [name, stage] : objects_.stages) {
      CheckStage(stage);
      CheckStageRanges(stage);
    }
    for (const auto& [name, version] : objects_.model_versions) {
      const std::string object = "ModelVersion/" + name.value();
      RequireText(object, "model", version.model);
      RequireText(object, "version", version.version);
    }
    for (const auto& [name, pipeline] : objects_.pipelines) {
      CheckPipeline(pipeline);
    }
    for (const auto& [name, team] : objects_.teams) {
      CheckTeam(team);
    }
    for (const auto& [name, person] : objects_.operators) {
      CheckToken("Operator/" + name.value(), person.token_sha256);
    }
    return std::move(findings_);
  }

 private:
  void Report(const std::string& object,
              const std::string& field,
              const std::string& message) {
    InputLocation place;
    if (const auto known = places_.find(object); known != places_.end()) {
      place = known->second;
    }
    place.object = object;
    place.field = field;
    findings_.push_back({place, message});
  }

  void RequireText(const std::string& object,
                   const std::string& field,
                   const std::string& text) {
    if (text.empty()) {
      Report(object, field, "missing");
    }
  }

  // Sets assembled from parts did not pass the ranges of the YAML reader.
  void RequireAtLeast(const std::string& object,
                      const std::string& field,
                      int64_t value,
                      int64_t min) {
    if (value < min) {
      Report(object, field, "must be at least " + std::to_string(min));
    }
  }

  void RequireWithin(const std::string& object,
                     const std::string& field,
                     double value,
                     double min,
                     double max) {
    if (!(value >= min && value <= max)) {
      Report(
          object, field,
          "must be from " + std::to_string(min) + " to " + std::to_string(max));
    }
  }

  void CheckDeployment(const Deployment& deployment) {
    const std::string object = "Deployment/" + deployment.name;
    RequireWithin(object, "attainment_weight", deployment.attainment_weight, 0,
                  1);
    RequireAtLeast(object, "action_retention_s",
                   deployment.action_retention.count(), 1);
  }

  void CheckStageRanges(const Stage& stage) {
    const std::string object = "Stage/" + stage.name.value();
    RequireAtLeast(object, "max_attempts", stage.max_attempts, 1);
    RequireAtLeast(object, "max_output_tokens", stage.max_output_tokens, 1);
    for (const auto& [field, price] :
         {std::pair("per_prompt_token", stage.price.per_prompt_token),
          std::pair("per_output_token", stage.price.per_output_token),
          std::pair("per_call", stage.price.per_call),
          std::pair("per_second", stage.price.per_second)}) {
      RequireAtLeast(object, field, price.value(), 0);
    }
    RequireAtLeast(object, "median_ms", stage.service_time.median.count(), 1);
    RequireAtLeast(object, "p95_ms", stage.service_time.p95.count(), 1);
  }

  template <typename Map>
  bool CheckReference(const std::string& object,
                      const std::string& field,
                      const Map& map,
                      const typename Map::key_type& name) {
    if (map.contains(name)) {
      return true;
    }
    Report(object, field,
           name.empty() ? std::string("missing")
                        : "`" + name.value() + "` does not exist");
    return false;
  }

  void CheckStage(const Stage& stage) {
    const std::string object = "Stage/" + stage.name.value();
    CheckReference(object, "pool", objects_.pools, stage.pool);
    if (stage.role == StageRole::kGenerate) {
      CheckReference(object, "model_version", objects_.model_versions,
                     stage.model_version);
    } else if (!stage.model_version.empty()) {
      Report(object, "model_version", "is for generate stages only");
    }
    if (stage.path.empty() || stage.path.front() != '/') {
      Report(object, "path", "must begin with `/`");
    }
    if (stage.service_time.p95 < stage.service_time.median) {
      Report(object, "service_time", "p95_ms is below median_ms");
    }
  }

  void CheckPipeline(const Pipeline& pipeline) {
    const std::string object = "Pipeline/" + pipeline.name.value();
    CheckReference(object, "priority", objects_.priorities, pipeline.priority);
    RequireAtLeast(object, "deadline_ms", pipeline.deadline.count(), 1);
    if (pipeline.stages.empty()) {
      Report(object, "stages", "at least one stage is needed");
      return;
    }
    if (!CheckPipelineStages(object, pipeline)) {
      return;
    }
    const auto path = CriticalPath(pipeline, objects_);
    if (!path) {
      Report(object, "stages", "the stages depend on each other in a cycle");
      return;
    }
    if (*path > pipeline.deadline) {
      Report(object, "deadline_ms",
             "the medians of the longest path add up to " +
                 std::to_string(path->count()) + " ms, past the deadline");
    }
  }

  // True when all stage names resolve.
  bool CheckPipelineStages(const std::string& object,
                           const Pipeline& pipeline) {
    std::set<StageId> members;
    bool resolved = true;
    for (const PipelineStage& member : pipeline.stages) {
      resolved &=
          CheckReference(object, "stages", objects_.stages, member.stage);
      if (!members.insert(member.stage).second) {
        Report(object, "stages",
               "`" + member.stage.value() + "` appears twice");
        resolved = false;
      }
    }
    for (const PipelineStage& member : pipeline.stages) {
      for (const StageId& before : member.after) {
        if (!members.contains(before)) {
          Report(object, "after",
                 "`" + before.value() + "` is not a stage of the pipeline");
          resolved = false;
        }
      }
    }
    return resolved;
  }

  void CheckTeam(const Team& team) {
    const std::string object = "Team/" + team.name.value();
    CheckToken(object, team.token_sha256);
    if (!(team.share >= kMinShare && team.share <= kMaxShare)) {
      RequireWithin(object, "share", team.share, kMinShare, kMaxShare);
    }
    for (const PipelineId& pipeline : team.pipelines) {
      CheckReference(object, "pipelines", objects_.pipelines, pipeline);
    }
  }

  void CheckToken(const std::string& object, const std::string& hash) {
    const bool is_hex = std::all_of(hash.begin(), hash.end(), [](char c) {
      return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
    if (hash.size() != kSha256Digits || !is_hex) {
      Report(object, "token_sha256",
             "must be 64 lower-case hexadecimal digits");
    } else if (!tokens_.insert(hash).second) {
      Report(object, "token_sha256", "is used by another team or operator");
    }
  }

  const ObjectSet& objects_;
  const ObjectPlaces& places_;
  Findings findings_;
  std::set<std::string> tokens_;
};

}  // namespace

Findings ValidateObjects(const ObjectSet& objects, const ObjectPlaces& places) {
  return Validator(objects, places).Run();
}

}  // namespace peridotmill
