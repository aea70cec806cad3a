#ifndef LOAD_REPORT_OUTCOME_H_
#define LOAD_REPORT_OUTCOME_H_

#include <cstdint>
#include <string>
#include <vector>

#include "peridotmill_core/time/clock.h"
#include "tools/peridotmill-load/checking/answer_check.h"

namespace peridotmill::load {

enum class Ending : uint8_t {
  kAnswered,
  // An error answer or an error event in a stream.
  kRefused,
  // The connection broke after the request may have been sent.
  kBroken,
  // The entry node refused the connection; nothing was sent.
  kNotConnected,
  // No answer came until the end of the run.
  kUnanswered,
};

// How one request ended.
struct Outcome {
  Ending ending = Ending::kUnanswered;
  Duration sent_late{};
  Duration total{};
  // Zero when no token came.
  Duration first_token{};
  std::vector<Duration> token_gaps;
  // Code and execution of a refusal.
  std::string code;
  std::string execution;
  AnswerCheck check;
};

}  // namespace peridotmill::load

#endif  // LOAD_REPORT_OUTCOME_H_
