#include "peridotmill_gateway/placement/stream_stalls.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// A predicted pause of less than this share of the longest allowed one does no
// harm. From there on the probability of a stall grows to 1, which it reaches
// at the allowed pause: engines differ in their rate, and it changes.
constexpr double kHarmlessPauseShare = 0.5;

// A first event that is predicted within this share of the time left is on time
// also at an engine that turns slow.
constexpr double kSafeTimeShare = 0.5;

double StallProbability(double tokens,
                        double tokens_per_ms,
                        Duration max_pause) {
  const double share = tokens / tokens_per_ms / ToMilliseconds(max_pause);
  return std::clamp((share - kHarmlessPauseShare) / (1 - kHarmlessPauseShare),
                    0.0, 1.0);
}

}  // namespace

double PredictLateness(const PrefillBacklog& backlog, Duration time_left) {
  if (time_left <= Duration::zero()) {
    return 0;
  }
  const double share = (backlog.pending_tokens + backlog.new_tokens) /
                       backlog.tokens_per_ms / ToMilliseconds(time_left);
  return std::clamp((share - kSafeTimeShare) / (1 - kSafeTimeShare), 0.0, 1.0);
}

double PredictStalledStreams(const PrefillBacklog& backlog,
                             Duration max_pause) {
  return backlog.open_streams *
             StallProbability(backlog.pending_tokens + backlog.new_tokens,
                              backlog.tokens_per_ms, max_pause) +
         backlog.pending_prompts * StallProbability(backlog.new_tokens,
                                                    backlog.tokens_per_ms,
                                                    max_pause);
}

}  // namespace peridotmill
