#include "peridotmill_gateway/calls/stage_call.h"

namespace peridotmill {

std::string_view ToString(StageItemOutcome outcome) {
  switch (outcome) {
    case StageItemOutcome::kDone:
      return "done";
    case StageItemOutcome::kLate:
      return "late";
    case StageItemOutcome::kInputGone:
      return "input_gone";
    case StageItemOutcome::kNoResultCapacity:
      return "no_room";
    case StageItemOutcome::kFailed:
      return "failed";
    case StageItemOutcome::kRefused:
      return "refused";
    case StageItemOutcome::kQuarantined:
      return "quarantined";
  }
  return "failed";
}

std::string_view ToString(StageCallOutcome outcome) {
  switch (outcome) {
    case StageCallOutcome::kAnswered:
      return "answered";
    case StageCallOutcome::kRefused:
      return "refused";
    case StageCallOutcome::kNotSent:
      return "not_sent";
    case StageCallOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace peridotmill
