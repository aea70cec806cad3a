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

// One item of work of a stage.
struct StageItem {
  RequestId request;
  size_t stage = 0;
  size_t piece = 0;
  // Time after which the result is of no use.
  Duration time_left = Duration::zero();
  // Either the caller's key, for a stage that depends on no other, or the
  // results that the stage takes.
  std::string key;
  std::vector<ResultHandle> inputs;
};

enum class StageItemOutcome : uint8_t {
  kDone,
  // The item's time had passed when its turn came.
  kLate,
  // One of its inputs no longer exists.
  kInputGone,
  // The endpoint has no room for the result.
  kNoResultCapacity,
  kFailed,
  // Not begun: the request it belongs to cannot be served in time.
  kRefused,
};

std::string_view ToString(StageItemOutcome outcome);

struct StageItemResult {
  StageItemOutcome outcome = StageItemOutcome::kFailed;
  ResultHandle handle;
};

enum class StageCallOutcome : uint8_t {
  kAnswered,
  // The endpoint states that it did not run the call.
  kRefused,
  // No byte left this process.
  kNotSent,
  // The call may have run, and no usable answer came.
  kUnknown,
};

struct StageResponse {
  StageCallOutcome outcome = StageCallOutcome::kUnknown;
  // One for each item of the call, in its order, if it was answered.
  std::vector<StageItemResult> results;
  std::optional<ReportedLoad> load;
};

// Receives the answer to a call, never within Start.
class StageCallListener {
 public:
  virtual ~StageCallListener() = default;
  virtual void OnStageResponse(StageResponse answer) = 0;
};

class StageCallHandle {
 public:
  virtual ~StageCallHandle() = default;
};

// Calls endpoints of stage pools.
class StageCaller {
 public:
  virtual ~StageCaller() = default;
  virtual std::unique_ptr<StageCallHandle> Start(
      const EndpointRegistration& endpoint,
      const std::vector<StageItem>& items,
      StageCallListener* listener) = 0;
  // Tells the makers that these results are no longer needed. Losing this only
  // keeps the results until their retention ends.
  virtual void Release(const std::vector<ResultHandle>& handles) = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_CALLS_STAGE_CALL_H_
