#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "peridotmill_config/peridotmill_config.h"

namespace peridotmill {
namespace {

constexpr char kValidSet[] = R"(
kind: Priority
name: interactive
level: 0
---
kind: Pool
name: engines
---
kind: ModelVersion
name: chat-v1
model: chat
version: "1"
---
kind: Stage
name: answer
role: generate
pool: engines
model_version: chat-v1
price: {per_output_token: 3}
service_time: {median_ms: 300, p95_ms: 900}
---
kind: Pipeline
name: chat
priority: interactive
deadline_ms: 4000
stages:
  - stage: answer
---
kind: Team
name: guides
token_sha256: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
share: 2
)";

struct Loaded {
  ObjectSet objects;
  ObjectPlaces places;
  Findings findings;
};

Loaded Load(const std::string& text) {
  Loaded loaded;
  ReadObjects(text, "set.yaml", loaded.objects, loaded.places, loaded.findings);
  for (Finding& finding : ValidateObjects(loaded.objects, loaded.places)) {
    loaded.findings.push_back(std::move(finding));
  }
  return loaded;
}

TEST(ConfigTest, ValidSetHasNoFindings) {
  const Loaded loaded = Load(kValidSet);
  EXPECT_EQ(ToString(loaded.findings), "");
  EXPECT_EQ(loaded.objects.stages.at(StageId("answer")).price.per_output_token,
            MicroUnits(3));
}

// Guards against an error report that names only the first of several faults
// or loses their place.
TEST(ConfigTest, AllFindingsAreReportedWithTheirPlace) {
  struct Case {
    const char* text;
    const char* expected;
  };
  const Case cases[] = {
      {"kind: Stage\nname: s\nrole: rerank\npool: nowhere\n",
       "set.yaml:1: Stage/s: pool: `nowhere` does not exist"},
      {"kind: Pool\nname: p\ncolour: red\n",
       "set.yaml:3: Pool/p: colour: unknown field"},
      {"kind: Pool\nname: p\nconcurrency: many\n",
       "set.yaml:3: Pool/p: concurrency: expected a whole number"},
      {"kind: Pool\nname: p\nconcurrency: 0\n",
       "set.yaml:3: Pool/p: concurrency: must be at least 1 and at most "
       "2147483647"},
      {"kind: Wheel\nname: w\n",
       "set.yaml:1: Wheel/w: kind: unknown kind `Wheel`"},
      {"kind: Team\nname: t\ntoken_sha256: abc\n",
       "set.yaml:1: Team/t: token_sha256: must be 64 lower-case hexadecimal "
       "digits"},
      {"kind: Pool\nname: p\n---\nkind: Pool\nname: p\n",
       "set.yaml:4: Pool/p: name is used twice"},
      {"kind: Pipeline\nname: l\npriority: x\n",
       "set.yaml:1: Pipeline/l: stages: at least one stage is needed"},
  };
  std::string all;
  for (const Case& test_case : cases) {
    const std::string report = ToString(Load(test_case.text).findings);
    EXPECT_NE(report.find(test_case.expected), std::string::npos)
        << test_case.expected << "\nnot in\n"
        << report;
  }
  const std::string both =
      ToString(Load("kind: Stage\nname: s\nrole: x\npool: y\n").findings);
  EXPECT_EQ(std::count(both.begin(), both.end(), '\n'), 2) << both;
}

// Guards against parts of another publisher that put a pool or a share in force
// which the YAML reader would refuse.
TEST(ConfigTest, RangesHoldForSetsThatWereNotReadFromYaml) {
  ObjectSet objects = Load(kValidSet).objects;
  objects.pools.begin()->second.concurrency = 0;
  objects.stages.begin()->second.max_attempts = 0;
  objects.stages.begin()->second.price.per_call = MicroUnits(-1);
  objects.deployment.attainment_weight = 1.5;
  EXPECT_EQ(ValidateObjects(objects, {}).size(), 4u);
}

// Guards against the last of several Deployments winning silently.
TEST(ConfigTest, DeploymentsInTwoFilesAreFound) {
  ObjectSet objects;
  ObjectPlaces places;
  Findings findings;
  ReadObjects("kind: Deployment\nname: a\n", "a.yaml", objects, places,
              findings);
  EXPECT_TRUE(findings.empty());
  ReadObjects("kind: Deployment\nname: b\n", "b.yaml", objects, places,
              findings);
  EXPECT_EQ(ToString(findings),
            "b.yaml:1: Deployment/b: only one Deployment is allowed\n");
}

// Guards against a cycle of stages that would never start.
TEST(ConfigTest, CyclesAndUnreachableDeadlinesAreFound) {
  std::string text = kValidSet;
  text += R"(---
kind: Stage
name: second
role: rerank
pool: engines
service_time: {median_ms: 3900, p95_ms: 4000}
---
kind: Pipeline
name: circle
priority: interactive
stages:
  - {stage: answer, after: [second]}
  - {stage: second, after: [answer]}
---
kind: Pipeline
name: slow
priority: interactive
stages:
  - {stage: answer}
  - {stage: second, after: [answer]}
)";
  const std::string report = ToString(Load(text).findings);
  EXPECT_NE(report.find("Pipeline/circle: stages: the stages depend"),
            std::string::npos)
      << report;
  EXPECT_NE(report.find("add up to 4200 ms"), std::string::npos) << report;
}

// Guards against objects that change or vanish on their way through the store.
TEST(ConfigTest, PartsRestoreTheSet) {
  const Loaded loaded = Load(kValidSet);
  const std::vector<Part> parts = SplitIntoParts(loaded.objects);
  ObjectSet restored;
  for (const Part& part : parts) {
    EXPECT_TRUE(MergePart(part.content, restored));
  }
  const std::vector<Part> again = SplitIntoParts(restored);
  ASSERT_EQ(parts.size(), again.size());
  for (size_t i = 0; i < parts.size(); ++i) {
    EXPECT_EQ(parts[i].digest, again[i].digest) << parts[i].name;
  }
  EXPECT_EQ(restored.teams.size(), 1u);
}

// Guards against an edit of one team that rewrites unrelated parts.
TEST(ConfigTest, EditingATeamChangesOnePart) {
  Loaded loaded = Load(kValidSet);
  const std::vector<Part> before = SplitIntoParts(loaded.objects);
  loaded.objects.teams.at(TeamId("guides")).share = 3;
  const std::vector<Part> after = SplitIntoParts(loaded.objects);
  ASSERT_EQ(before.size(), after.size());
  int changed = 0;
  for (size_t i = 0; i < before.size(); ++i) {
    changed += before[i].digest != after[i].digest ? 1 : 0;
  }
  EXPECT_EQ(changed, 1);
}

// Guards against a damaged part or head that is taken as an empty one.
TEST(ConfigTest, MalformedPartsAndHeadsAreErrors) {
  ObjectSet objects;
  for (const char* text : {"", "[]", "{\"pools\":[{}]}", "{\"teams\":3}"}) {
    EXPECT_FALSE(MergePart(text, objects)) << text;
    EXPECT_FALSE(DecodeHead(text)) << text;
  }
}

TEST(ConfigTest, HeadSurvivesEncoding) {
  ConfigHead head;
  head.revision = Revision(7);
  head.nonce = Nonce("n");
  head.parts = {{"pools", "d1"}};
  const auto decoded = DecodeHead(EncodeHead(head));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->revision, head.revision);
  EXPECT_EQ(decoded->parts, head.parts);
  EXPECT_LT(HistoryKey(Revision(9)), HistoryKey(Revision(10)));
}

}  // namespace
}  // namespace peridotmill
