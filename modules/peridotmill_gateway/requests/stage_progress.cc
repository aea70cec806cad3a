#include "peridotmill_gateway/requests/stage_progress.h"

#include <algorithm>
#include <utility>

namespace peridotmill {
namespace {

bool TakesResultsOf(const StageDefinition& definition, size_t stage) {
  return std::find(definition.after.begin(), definition.after.end(), stage) !=
         definition.after.end();
}

}  // namespace

bool IsFinalStage(const std::vector<StageDefinition>& definitions,
                  size_t stage) {
  return std::none_of(definitions.begin(), definitions.end(),
                      [&](const StageDefinition& definition) {
                        return TakesResultsOf(definition, stage);
                      });
}

StageProgress MakeStageProgress(const std::vector<int>& item_counts) {
  StageProgress progress;
  for (const int count : item_counts) {
    StageProgress::Stage stage;
    stage.item_count = count;
    stage.state = count == 0 ? StageProgress::State::kDone
                             : StageProgress::State::kWaiting;
    progress.stages.push_back(std::move(stage));
  }
  return progress;
}

std::vector<size_t> ReadyStages(const std::vector<StageDefinition>& definitions,
                                const StageProgress& progress) {
  std::vector<size_t> ready;
  for (size_t i = 0; i < definitions.size(); ++i) {
    const auto& after = definitions[i].after;
    if (progress.stages[i].state == StageProgress::State::kWaiting &&
        std::all_of(after.begin(), after.end(), [&](size_t input) {
          return progress.stages[input].state == StageProgress::State::kDone;
        })) {
      ready.push_back(i);
    }
  }
  return ready;
}

std::vector<size_t> StagesToStart(
    const std::vector<StageDefinition>& definitions,
    const StageProgress& progress) {
  const int longest = LongestRemainingChain(definitions, progress);
  std::vector<size_t> stages = ReadyStages(definitions, progress);
  std::erase_if(stages, [&](size_t stage) {
    return RemainingChainLength(definitions, progress, stage) < longest;
  });
  return stages;
}

int LongestRemainingChain(const std::vector<StageDefinition>& definitions,
                          const StageProgress& progress) {
  int longest = 0;
  for (size_t i = 0; i < definitions.size(); ++i) {
    longest = std::max(longest, RemainingChainLength(definitions, progress, i));
  }
  return longest;
}

bool AreAllStagesDone(const StageProgress& progress) {
  return std::all_of(progress.stages.begin(), progress.stages.end(),
                     [](const StageProgress::Stage& stage) {
                       return stage.state == StageProgress::State::kDone;
                     });
}

std::vector<ResultHandle> StageInputs(
    const std::vector<StageDefinition>& definitions,
    const StageProgress& progress,
    size_t stage) {
  std::vector<ResultHandle> inputs;
  for (const size_t input : definitions[stage].after) {
    const auto& results = progress.stages[input].results;
    inputs.insert(inputs.end(), results.begin(), results.end());
  }
  return inputs;
}

std::vector<ResultHandle> FinalResults(
    const std::vector<StageDefinition>& definitions,
    const StageProgress& progress) {
  std::vector<ResultHandle> inputs;
  for (size_t i = 0; i < definitions.size(); ++i) {
    if (IsFinalStage(definitions, i)) {
      const auto& results = progress.stages[i].results;
      inputs.insert(inputs.end(), results.begin(), results.end());
    }
  }
  return inputs;
}

std::vector<size_t> FindReleasableStages(
    const std::vector<StageDefinition>& definitions,
    const StageProgress& progress) {
  std::vector<size_t> releasable;
  for (size_t i = 0; i < definitions.size(); ++i) {
    if (progress.stages[i].state != StageProgress::State::kDone ||
        IsFinalStage(definitions, i)) {
      continue;
    }
    bool is_needed = false;
    for (size_t j = i + 1; j < definitions.size(); ++j) {
      is_needed = is_needed ||
                  (TakesResultsOf(definitions[j], i) &&
                   progress.stages[j].state != StageProgress::State::kDone);
    }
    if (!is_needed) {
      releasable.push_back(i);
    }
  }
  return releasable;
}

int RemainingChainLength(const std::vector<StageDefinition>& definitions,
                         const StageProgress& progress,
                         size_t stage) {
  if (progress.stages[stage].state == StageProgress::State::kDone) {
    return 0;
  }
  int longest = 0;
  for (size_t j = stage + 1; j < definitions.size(); ++j) {
    if (TakesResultsOf(definitions[j], stage)) {
      longest =
          std::max(longest, RemainingChainLength(definitions, progress, j));
    }
  }
  return longest + 1;
}

}  // namespace peridotmill
