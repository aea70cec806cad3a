#ifndef PERIDOTMILL_GATEWAY_PLACEMENT_STREAM_STALLS_H_
#define PERIDOTMILL_GATEWAY_PLACEMENT_STREAM_STALLS_H_

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// What a new prompt meets at an engine.
struct PrefillBacklog {
  // Tokens to prefill for prompts that were placed there before.
  double pending_tokens = 0;
  // Number of those prompts. Their streams begin before the new prompt's
  // prefill.
  double pending_prompts = 0;
  // Streams that are being written there.
  double open_streams = 0;
  // Tokens to prefill for the new prompt.
  double new_tokens = 0;
  // Prefill rate of the engine.
  double tokens_per_ms = 0;
};

// Returns how many streams are expected to pause for longer than `max_pause`
// because of the new prompt. Handles long prompts on engines whose slots are
// mostly free: while an engine prefills, all streams that it writes stand
// still, and a stream that pauses for too long is late as a whole, however fast
// its first event was.
double PredictStalledStreams(const PrefillBacklog& backlog, Duration max_pause);

// Returns the probability that the new prompt's own first event is late, if it
// is due in `time_left`. Handles popular prompts that queue up at the engine
// which has read their shared part until they are late, while another engine
// would read all of it in time. 0 if the event is late everywhere.
double PredictLateness(const PrefillBacklog& backlog, Duration time_left);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PLACEMENT_STREAM_STALLS_H_
