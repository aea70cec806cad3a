#ifndef PERIDOTMILL_GATEWAY_PACE_ENGINE_PACE_H_
#define PERIDOTMILL_GATEWAY_PACE_ENGINE_PACE_H_

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// What a pool's engines usually take for a prompt, as a multiple of the nominal
// response time. Paces are relative to it.
struct UsualPace {
  double ratio = 1;
  int samples = 0;
};

// How long prompts take at one engine, relative to its pool, learned from
// response times. A geometric moving average, because a response that took
// three times as long and one that took a third cancel out.
struct EnginePace {
  double log_pace = 0;
  int samples = 0;
  TimePoint updated_at;
  // See UpdateIsSlow.
  bool is_slow = false;
};

// Returns the response time of an engine of nominal pace that has to prefill
// this many tokens.
Duration NominalResponseTime(double tokens);

// Records that an engine took `elapsed` until it responded to a prompt, with
// `tokens` to prefill for this prompt and those ahead of it. Ignores times that
// no prefill could have taken: the request ended without a response.
void RecordResponseTime(EnginePace& engine,
                        UsualPace& usual,
                        double tokens,
                        Duration elapsed,
                        TimePoint now);

// Returns how long prompts take at the engine, as a multiple of what they take
// in its pool: above 1 if it is slow. Handles pools whose engines differ by
// factors of two and more, and change: without new responses the estimate
// returns to 1, so that an engine which was slow is tried again.
double EstimateEnginePace(const EnginePace& engine, TimePoint now);

// Returns the rate at which the engine is expected to prefill.
double PrefillTokensPerMs(const EnginePace& engine,
                          const UsualPace& usual,
                          TimePoint now);

// Updates EnginePace::is_slow, for logs and metrics: an engine becomes slow at
// twice the usual time, and is no longer slow below 1.4 times. Returns whether
// the value has changed.
bool UpdateIsSlow(EnginePace& engine, TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PACE_ENGINE_PACE_H_
