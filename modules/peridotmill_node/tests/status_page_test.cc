#include "peridotmill_node/status/status_page.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "peridotmill_node/node.h"

namespace peridotmill {
namespace {

NodeState SampleNode() {
  NodeSettings settings;
  settings.id = NodeId("entry-1");
  settings.failure_domain = FailureDomainId("summit");
  return *MakeNode(settings);
}

// Guards against a page that ends the process: it threw once a stage had cost
// something.
TEST(StatusPageTest, AddsUpTheCostOfAStageOverTeams) {
  NodeState state = SampleNode();
  const StageId stage("find-dates");
  const PipelineId pipeline("date-lookup");
  AddSpend(state.ledger, {stage, TeamId("treks"), pipeline}, MicroUnits(30),
           /*is_wasted=*/false);
  AddSpend(state.ledger, {stage, TeamId("walks"), pipeline}, MicroUnits(12),
           /*is_wasted=*/true);

  const auto status = nlohmann::json::parse(RenderStatus(state, TimePoint()));

  const nlohmann::json expected = {
      {"spend_micro_units", 42}, {"wasted_micro_units", 12}, {"attempts", 2}};
  EXPECT_EQ(status["cost_by_stage"]["find-dates"], expected);
}

// Guards against a member that peridotctl shows but the page lacks.
TEST(StatusPageTest, HasTheMembersThatPeridotctlShows) {
  const NodeState state = SampleNode();
  const auto status = nlohmann::json::parse(RenderStatus(state, TimePoint()));
  for (const char* member : {"node", "failure_domain", "revision", "uptime_s",
                             "endpoints", "state"}) {
    EXPECT_TRUE(status.contains(member)) << member;
  }
}

}  // namespace
}  // namespace peridotmill
