#ifndef PERIDOTMILL_GATEWAY_CALLS_STAGE_CALL_H_
#define PERIDOTMILL_GATEWAY_CALLS_STAGE_CALL_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_gateway/calls/endpoint_call.h"

namespace peridotmill {

// One item of the work of a stage of a request.
struct StageItem {
  RequestId request;
  // Index of the stage in the route, and of the item in the stage.
  size_t stage = 0;
  size_t piece = 0;
  // Time that remains until the deadline of the item.
  Duration time_left = Duration::zero();
  // Input: the caller's key for a stage that depends on no other stage.
  // Otherwise the key is empty, and the inputs are the results of the stages
  // that it depends on; there are none if the caller omits all of these.
  std::string key;
  std::vector<ResultHandle> inputs;
};

// Outcome of one item, or of a stage task.
enum class StageItemOutcome : uint8_t {
  kDone,
  // The deadline of the item had passed before the endpoint ran it.
  kLate,
  // One of its inputs no longer exists.
  kInputGone,
  // The endpoint has no memory for the result.
  kNoResultCapacity,
  kFailed,
  // The item was not run, because its request cannot be served in time.
  kRefused,
  // The item was not run, because a part of the request's prompt is
  // quarantined.
  kQuarantined,
};

// Returns the name of an outcome for the event log.
std::string_view ToString(StageItemOutcome outcome);

// Outcome of one item, and the handle of its result if the outcome is kDone.
struct StageItemResult {
  StageItemOutcome outcome = StageItemOutcome::kFailed;
  ResultHandle handle;
};

// Outcome of a stage call as a whole.
enum class StageCallOutcome : uint8_t {
  kAnswered,
  // The endpoint guarantees that it did not run the call.
  kRefused,
  // No byte of the call was sent.
  kNotSent,
  // The call may have run, but no usable response was received.
  kUnknown,
};

// Returns the name of an outcome for the event log.
std::string_view ToString(StageCallOutcome outcome);

// Response to a stage call.
struct StageResponse {
  StageCallOutcome outcome = StageCallOutcome::kUnknown;
  // One result for each item of the call, in the same order, if the outcome is
  // kAnswered.
  std::vector<StageItemResult> results;
  // Number of results without a usable handle; their outcome is kFailed.
  int malformed_handles = 0;
  std::optional<ReportedLoad> load;
  EndpointNotice notice;
};

// Receives the response to a call. Never called within Start.
class StageCallListener {
 public:
  virtual ~StageCallListener() = default;
  virtual void OnStageResponse(StageResponse response) = 0;
};

// Handle of a call in flight; destroying the handle cancels the call.
class StageCallHandle {
 public:
  virtual ~StageCallHandle() = default;
};

// Calls endpoints of stage pools.
class StageCaller {
 public:
  virtual ~StageCaller() = default;
  // Starts a call with these items.
  virtual std::unique_ptr<StageCallHandle> Start(
      const EndpointRegistration& endpoint,
      const std::vector<StageItem>& items,
      StageCallListener* listener) = 0;
  // Tells an endpoint to delete results that it has produced. If the message is
  // lost, the endpoint keeps the results until their retention ends.
  virtual void Release(const EndpointIncarnation& producer,
                       const std::vector<ResultHandle>& handles) = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_CALLS_STAGE_CALL_H_
