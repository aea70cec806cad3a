#include "peridotmill_config/reading/object_writer.h"

#include <gtest/gtest.h>

#include "peridotmill_config/peridotmill_config.h"

namespace peridotmill {
namespace {

ObjectSet UnusualSet() {
  ObjectSet objects;
  // Names and texts that YAML could read as another type or as its own syntax.
  for (const char* name :
       {"plain", "12", "true", "null", "~", "a: b", "- x", "#hash", "'quoted'",
        "line\nbreak", " space ", "1e3", "{x}", "caf\xc3\xa9"}) {
    Team team;
    team.name = TeamId(name);
    team.token_sha256 = "0123";
    team.share = 0.1;
    team.pipelines = {PipelineId("12"), PipelineId(name)};
    objects.teams[team.name] = team;
  }
  Stage stage;
  stage.name = StageId("answer");
  stage.role = StageRole::kGenerate;
  stage.pool = PoolId("engines");
  stage.model_version = ModelVersionId("chat-v1");
  stage.path = "";
  stage.idempotent = false;
  stage.price.per_output_token = MicroUnits(3);
  stage.service_time.median = std::chrono::milliseconds(7);
  objects.stages[stage.name] = stage;
  Pipeline pipeline;
  pipeline.name = PipelineId("chat");
  pipeline.priority = PriorityId("interactive");
  pipeline.key_required = true;
  pipeline.stages = {{StageId("answer"), {}},
                     {StageId("book"), {StageId("answer")}}};
  objects.pipelines[pipeline.name] = pipeline;
  objects.pools[PoolId("engines")] = {PoolId("engines"), 4, 9, true};
  objects.model_versions[ModelVersionId("chat-v1")] = {
      ModelVersionId("chat-v1"), "chat", "1.10"};
  objects.priorities[PriorityId("interactive")] = {PriorityId("interactive"),
                                                   2};
  objects.operators[OperatorId("ann")] = {OperatorId("ann"), "4567"};
  objects.deployment = {"north", 1.0 / 3, std::chrono::seconds(60),
                        RoutingPolicy::kLeastLoad};
  return objects;
}

// Guards against a field or a character that `peridotctl get` loses, so that
// publishing its output would change the configuration.
TEST(ObjectWriterTest, ReadsBackTheSameSet) {
  const ObjectSet objects = UnusualSet();
  ObjectSet read;
  ObjectPlaces places;
  Findings findings;
  ReadObjects(WriteObjects(objects), "set.yaml", read, places, findings);
  EXPECT_EQ(ToString(findings), "");
  const auto expected = SplitIntoParts(objects);
  const auto parts = SplitIntoParts(read);
  ASSERT_EQ(parts.size(), expected.size());
  for (size_t i = 0; i < parts.size(); ++i) {
    EXPECT_EQ(parts[i].content, expected[i].content);
  }
}

}  // namespace
}  // namespace peridotmill
