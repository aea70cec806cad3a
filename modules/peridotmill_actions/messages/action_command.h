#ifndef PERIDOTMILL_ACTIONS_MESSAGES_ACTION_COMMAND_H_
#define PERIDOTMILL_ACTIONS_MESSAGES_ACTION_COMMAND_H_

#include <optional>
#include <variant>
#include <vector>

#include "peridotmill_actions/messages/action_messages.h"
#include "peridotmill_core/store/store_call.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/units/quantity.h"

namespace peridotmill {

// Number of a store call of this module; its answer carries it back.
using ActionOperation = Quantity<struct ActionOperationTag>;

struct ActionStoreCall {
  ActionOperation operation;
  StoreRequest request;
  Duration timeout{};
};

struct ActionSend {
  NodeId to;
  ActionMessage message;
};

enum class ActionResultKind : uint8_t {
  // The caller's action may be sent; RecordOutcome or VoidClaim must follow.
  kGranted,
  // `answer` is the recorded answer.
  kDuplicate,
  // `reason` and `execution` say why the action is not run.
  kRefused,
};

// Ends BeginAction or LookUpAction. A refusal as kNotRun is given only when
// this call was not granted and never will be.
struct ActionResult {
  RequestId request;
  Nonce nonce;
  ActionResultKind kind = ActionResultKind::kRefused;
  ActionAnswer answer;
  Reason reason = Reason::kStoreUnavailable;
  Execution execution = Execution::kNotRun;
};

using ActionCommand = std::variant<ActionStoreCall, ActionSend, ActionResult>;
using ActionCommands = std::vector<ActionCommand>;

// Both clocks at the moment of an event. Intervals use `steady`; `wall` only
// stamps segments and judges retention.
struct ActionTime {
  TimePoint steady;
  WallTime wall;

  int64_t epoch_seconds() const {
    return std::chrono::duration_cast<std::chrono::seconds>(
               wall.time_since_epoch())
        .count();
  }
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_MESSAGES_ACTION_COMMAND_H_
