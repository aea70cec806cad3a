#ifndef PERIDOTMILL_GATEWAY_REQUESTS_STAGE_PROGRESS_H_
#define PERIDOTMILL_GATEWAY_REQUESTS_STAGE_PROGRESS_H_

#include <vector>

#include "peridotmill_gateway/calls/endpoint_call.h"
#include "peridotmill_gateway/configuration/gateway_config.h"

namespace peridotmill {

// How far the stages of one request have come. Stages without items count as
// done from the start.
struct StageProgress {
  enum class State : uint8_t { kWaiting, kRunning, kDone };
  struct Stage {
    State state = State::kWaiting;
    int item_count = 0;
    std::vector<ResultHandle> results;
    FailureDomainId maker_domain;
    TimePoint submitted;
  };
  std::vector<Stage> stages;
};

// `item_counts` has one element for each stage.
// @pre item_counts.size() == definitions.size()
StageProgress MakeStageProgress(const std::vector<int>& item_counts);

// Stages that wait and whose inputs are all there.
std::vector<size_t> ReadyStages(const std::vector<StageDefinition>& definitions,
                                const StageProgress& progress);

// Ready stages that need not wait any longer. A stage waits while a longer way
// than its own is ahead of the request, since its results would take room at
// their maker until the others are there.
std::vector<size_t> StagesToStart(
    const std::vector<StageDefinition>& definitions,
    const StageProgress& progress);

bool AreAllDone(const StageProgress& progress);

// Results that a stage takes.
std::vector<ResultHandle> InputsOf(
    const std::vector<StageDefinition>& definitions,
    const StageProgress& progress,
    size_t stage);

// Whether no other stage takes this one's results.
bool IsFinalStage(const std::vector<StageDefinition>& definitions,
                  size_t stage);

// Results of the stages that no other stage follows: the engine's inputs.
std::vector<ResultHandle> FinalResults(
    const std::vector<StageDefinition>& definitions,
    const StageProgress& progress);

// Stages that are done and whose results neither a stage nor the engine needs
// any more.
std::vector<size_t> FindSpentStages(
    const std::vector<StageDefinition>& definitions,
    const StageProgress& progress);

// Largest number of stages in a row that still have to run from `stage` on,
// including itself.
int RemainingDepth(const std::vector<StageDefinition>& definitions,
                   const StageProgress& progress,
                   size_t stage);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REQUESTS_STAGE_PROGRESS_H_
