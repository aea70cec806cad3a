#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

#include "peridotmill_config/peridotmill_config.h"
#include "peridotmill_core/hashing/hashing.h"
#include "standins/peridotmill-standin/scenario/scenario.h"
#include "tools/peridotmill-load/mix/mix.h"

namespace peridotmill::load {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

struct Size {
  const char* name;
  size_t domains;
  size_t endpoints;
  size_t nodes;
};

std::ostream& operator<<(std::ostream& out, const Size& size) {
  return out << size.name;
}

class ExamplesTest : public testing::TestWithParam<Size> {
 protected:
  void SetUp() override {
    const std::filesystem::path root =
        std::filesystem::path(PERIDOTMILL_EXAMPLES_DIR) / GetParam().name;
    ObjectPlaces places;
    for (const auto& file :
         std::filesystem::directory_iterator(root / "objects")) {
      ReadObjects(ReadFile(file.path()), file.path().filename(), objects_,
                  places, findings_);
    }
    for (Finding& finding : ValidateObjects(objects_, places)) {
      findings_.push_back(std::move(finding));
    }
    scenario_ = standin::ReadScenario(ReadFile(root / "stand-ins.yaml"),
                                      "stand-ins.yaml", findings_);
    mix_ = ReadMix(ReadFile(root / "load.yaml"), "load.yaml", findings_);
  }

  ObjectSet objects_;
  standin::Scenario scenario_;
  Mix mix_;
  Findings findings_;
};

// Guards against an example that a node, the stand-ins or the load tool refuse.
TEST_P(ExamplesTest, AllFilesAreValid) {
  EXPECT_EQ(ToString(findings_), "");
  EXPECT_EQ(objects_.teams.size(), 5u);
  EXPECT_FALSE(objects_.operators.empty());
}

// Guards against a scenario that differs from the deployment's size or leaves
// a pool without endpoints.
TEST_P(ExamplesTest, StandInsHaveTheDeploymentsSizeAndPools) {
  std::set<std::string> pools;
  std::set<std::string> domains;
  size_t endpoints = 0;
  for (const standin::StandIn& one : scenario_.stand_ins) {
    if (!one.pool.empty()) {
      ++endpoints;
      pools.insert(one.pool);
      domains.insert(one.failure_domain);
    }
  }
  EXPECT_EQ(endpoints, GetParam().endpoints);
  EXPECT_EQ(domains.size(), GetParam().domains);
  EXPECT_EQ(scenario_.nodes.size(), GetParam().nodes);
  for (const auto& [name, pool] : objects_.pools) {
    EXPECT_TRUE(pools.contains(name.value())) << name.value();
  }
}

// Guards against a mix whose requests every node would refuse.
TEST_P(ExamplesTest, MixUsesKnownPipelinesAndTokens) {
  for (const RequestClass& one : mix_.classes) {
    const auto pipeline = objects_.pipelines.find(PipelineId(one.pipeline));
    ASSERT_NE(pipeline, objects_.pipelines.end()) << one.pipeline;
    EXPECT_EQ(pipeline->second.key_required, one.form == RequestForm::kAction);
    const std::string hash = Sha256Hex(one.token);
    bool is_allowed = false;
    for (const auto& [name, team] : objects_.teams) {
      const auto& allowed = team.pipelines;
      is_allowed |=
          team.token_sha256 == hash &&
          (allowed.empty() || std::find(allowed.begin(), allowed.end(),
                                        pipeline->first) != allowed.end());
    }
    EXPECT_TRUE(is_allowed) << one.name;
  }
}

INSTANTIATE_TEST_SUITE_P(Deployments,
                         ExamplesTest,
                         testing::Values(Size{"guide-assistant", 3, 35, 9},
                                         Size{"shared-router", 4, 29, 8}));

}  // namespace
}  // namespace peridotmill::load
