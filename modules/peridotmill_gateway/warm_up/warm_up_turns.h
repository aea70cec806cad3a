#ifndef PERIDOTMILL_GATEWAY_WARM_UP_WARM_UP_TURNS_H_
#define PERIDOTMILL_GATEWAY_WARM_UP_WARM_UP_TURNS_H_

#include <cstdint>

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// How the callers of a warming endpoint share the requests that it tolerates.
// Time is divided into turns; in each turn a caller either may send one request
// to the endpoint or may send none.
struct WarmUpTurns {
  // Requests per second that the endpoint tolerates from all callers together.
  double requests_per_second = 0;
  // Number of callers that may share the endpoint. 0 if it is not known yet:
  // then there are no turns.
  int callers = 0;
  // Differs for each pair of a caller and an endpoint.
  uint64_t seed = 0;
};

// Handles an endpoint, or all endpoints of a failure domain, that return cold
// while every node has requests for them: each node owns 1 of `callers` turns,
// drawn at random without messages. In a second, all callers together send a
// third of what the endpoint tolerates on average, so that the sum stays within
// one and a half times that rate although draws coincide, and although callers
// that are cut off from each other count too few of them.
bool IsOwnTurn(const WarmUpTurns& turns, int64_t turn);

// Returns the index of the turn at `time`.
int64_t TurnAt(const WarmUpTurns& turns, TimePoint time);

// Returns when the turn begins.
TimePoint TurnStart(const WarmUpTurns& turns, int64_t turn);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_WARM_UP_WARM_UP_TURNS_H_
