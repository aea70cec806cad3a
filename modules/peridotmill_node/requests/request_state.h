#ifndef PERIDOTMILL_NODE_REQUESTS_REQUEST_STATE_H_
#define PERIDOTMILL_NODE_REQUESTS_REQUEST_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "peridotmill_config/peridotmill_config.h"
#include "peridotmill_core/peridotmill_core.h"
#include "peridotmill_limits/peridotmill_limits.h"
#include "peridotmill_node/interface/node_event.h"
#include "peridotmill_node/requests/parsed_request.h"

namespace peridotmill {

enum class StageStatus : uint8_t {
  // Waits for the stages before it.
  kBlocked,
  // Waits for an endpoint.
  kQueued,
  kRunning,
  kCompleted,
};

// Progress of one stage of one request.
struct StageProgress {
  StageStatus status = StageStatus::kBlocked;
  // JSON result once completed.
  std::string result;
  int32_t attempts = 0;
  // Endpoints that failed this stage and are avoided.
  std::vector<EndpointId> avoided;
  // Open attempts: one, or two while hedged.
  std::vector<AttemptId> open_attempts;
  // Tokens of a stream, complete up to `tokens`.
  std::string text;
  uint64_t tokens = 0;
  // Fragments that came ahead of their turn, by sequence.
  std::map<uint64_t, std::string> early_fragments;
  TimePoint queued_at;
  // Place in the pool's queue while waiting.
  std::optional<QueueTicket> ticket;
  // Spend of all attempts, and the part that the stage's result came of.
  MicroUnits spend;
  MicroUnits useful_spend;
};

// One open request of this node.
struct RequestState {
  RequestId id;
  CallerForm form = CallerForm::kPipeline;
  ParsedRequest parsed;
  TeamId team;
  IdempotencyKey key;
  // Nonce of the claim that this request asked for, if any.
  Nonce claim;
  // Whether the claim was granted, so that its end must be recorded.
  bool has_claim = false;
  // The configuration that the request began with and keeps to its end.
  std::shared_ptr<const ObjectSet> objects;
  PipelineId pipeline;
  int32_t priority_level = 0;
  TimePoint arrived_at;
  TimePoint deadline;
  std::map<StageId, StageProgress> stages;
  // Whether an attempt ended of which it is not known that it did not run.
  bool has_unknown_attempt = false;
  // Whether an attempt ended of which it is known that it ran.
  bool has_run_attempt = false;
  // Whether the first fragment of a stream was sent to the caller.
  bool has_stream_begun = false;
  bool is_caller_gone = false;
  // Whether the caller was told that the deadline has passed; the action goes
  // on until its outcome is known.
  bool is_expired = false;
};

// What a caller may be told about a request that ends now.
Execution ExecutionOf(const RequestState& request);

const Pipeline& PipelineOf(const RequestState& request);
const Stage& StageOf(const RequestState& request, const StageId& stage);

// Stages that no other stage of the pipeline waits for.
std::vector<StageId> TerminalStages(const Pipeline& pipeline);

// The stage whose tokens are streamed to the caller: the only terminal stage,
// if it generates; empty otherwise.
StageId StreamedStage(const RequestState& request);

bool IsStageReady(const RequestState& request, const PipelineStage& stage);
bool IsComplete(const RequestState& request);

// Whether some stage of the pipeline may not run twice.
bool HasAction(const Pipeline& pipeline, const ObjectSet& objects);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_REQUESTS_REQUEST_STATE_H_
