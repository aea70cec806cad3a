#ifndef PERIDOTMILL_GATEWAY_REQUESTS_STAGE_PROGRESS_H_
#define PERIDOTMILL_GATEWAY_REQUESTS_STAGE_PROGRESS_H_

#include <vector>

#include "peridotmill_gateway/calls/endpoint_call.h"
#include "peridotmill_gateway/configuration/gateway_config.h"

namespace peridotmill {

// State of each stage of one request. Stages without items are done from the
// start.
struct StageProgress {
  enum class State : uint8_t { kWaiting, kRunning, kDone };
  struct Stage {
    State state = State::kWaiting;
    int item_count = 0;
    std::vector<ResultHandle> results;
    // Failure domain of the endpoint that produced the latest results.
    FailureDomainId maker_domain;
    TimePoint submitted_at;
  };
  std::vector<Stage> stages;
};

// `item_counts` has one element for each stage.
// @pre item_counts.size() == definitions.size()
StageProgress MakeStageProgress(const std::vector<int>& item_counts);

// Returns the waiting stages whose input stages are all done.
std::vector<size_t> ReadyStages(const std::vector<StageDefinition>& definitions,
                                const StageProgress& progress);

// Returns the ready stages that should start now. A ready stage is held back
// while another chain of unfinished stages is longer than its own, since its
// results would occupy memory at the endpoint that produced them until that
// chain catches up.
std::vector<size_t> StagesToStart(
    const std::vector<StageDefinition>& definitions,
    const StageProgress& progress);

// Returns the length of the longest chain of unfinished stages.
int LongestRemainingChain(const std::vector<StageDefinition>& definitions,
                          const StageProgress& progress);

bool AreAllStagesDone(const StageProgress& progress);

// Returns the results that `stage` takes as inputs.
std::vector<ResultHandle> StageInputs(
    const std::vector<StageDefinition>& definitions,
    const StageProgress& progress,
    size_t stage);

// Returns whether no other stage takes the results of `stage`.
bool IsFinalStage(const std::vector<StageDefinition>& definitions,
                  size_t stage);

// Returns the results of all final stages, which are the engine's inputs.
std::vector<ResultHandle> FinalResults(
    const std::vector<StageDefinition>& definitions,
    const StageProgress& progress);

// Returns the finished stages whose results are no longer needed by a stage or
// by the engine.
std::vector<size_t> FindReleasableStages(
    const std::vector<StageDefinition>& definitions,
    const StageProgress& progress);

// Returns the length of the longest chain of unfinished stages that starts with
// `stage`; 0 if `stage` is done.
int RemainingChainLength(const std::vector<StageDefinition>& definitions,
                         const StageProgress& progress,
                         size_t stage);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REQUESTS_STAGE_PROGRESS_H_
