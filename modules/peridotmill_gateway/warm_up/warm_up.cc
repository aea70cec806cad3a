#include "peridotmill_gateway/warm_up/warm_up.h"

#include <algorithm>

#include "peridotmill_gateway/warm_up/warm_up_turns.h"

namespace peridotmill {
namespace {

WarmUpTurns MakeTurns(const WarmUp& warm_up) {
  return {.requests_per_second = warm_up.pool->requests_per_second,
          .callers = warm_up.pool->callers,
          .seed = warm_up.endpoint_seed ^ warm_up.pool->node_seed};
}

bool IsUsable(const WarmUp& warm_up, const WarmUpTurns& turns, int64_t turn) {
  return warm_up.used_turn != turn && IsOwnTurn(turns, turn);
}

}  // namespace

bool IsWarmingUp(const WarmUp& warm_up, TimePoint now) {
  return now < warm_up.end && warm_up.pool != nullptr &&
         warm_up.pool->requests_per_second > 0;
}

bool AllowsCall(const WarmUp& warm_up, TimePoint now) {
  if (!IsWarmingUp(warm_up, now)) {
    return true;
  }
  const WarmUpTurns turns = MakeTurns(warm_up);
  return IsUsable(warm_up, turns, TurnAt(turns, now));
}

TimePoint NextAllowedCall(const WarmUp& warm_up, TimePoint now) {
  if (AllowsCall(warm_up, now)) {
    return now;
  }
  const WarmUpTurns turns = MakeTurns(warm_up);
  if (turns.callers <= 0) {
    return warm_up.end;
  }
  for (int64_t turn = TurnAt(turns, now) + 1;
       TurnStart(turns, turn) < warm_up.end; ++turn) {
    if (IsUsable(warm_up, turns, turn)) {
      return TurnStart(turns, turn);
    }
  }
  return warm_up.end;
}

void RecordWarmUpCall(WarmUp& warm_up, TimePoint now) {
  if (IsWarmingUp(warm_up, now)) {
    warm_up.used_turn = TurnAt(MakeTurns(warm_up), now);
    ++warm_up.pool->calls;
  }
}

}  // namespace peridotmill
