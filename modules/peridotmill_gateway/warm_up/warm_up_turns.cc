#include "peridotmill_gateway/warm_up/warm_up_turns.h"

#include <algorithm>
#include <string_view>

#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Share of the tolerated rate that all callers together use on average.
constexpr double kUsedShare = 1.0 / 3;
constexpr double kMillisecondsPerSecond = 1000;
// Shorter turns would bound nothing that a pool's endpoints can be sent.
constexpr Duration kMinTurnLength = std::chrono::milliseconds(1);

Duration TurnLength(const WarmUpTurns& turns) {
  return std::max(kMinTurnLength,
                  FromMilliseconds(kMillisecondsPerSecond /
                                   (kUsedShare * turns.requests_per_second)));
}

// Shifts the turns of each caller, so that those of hosts with equal clocks do
// not begin at the same moment.
Duration TurnOffset(const WarmUpTurns& turns) {
  return Duration(static_cast<Duration::rep>(
      turns.seed % static_cast<uint64_t>(TurnLength(turns).count())));
}

}  // namespace

bool IsOwnTurn(const WarmUpTurns& turns, int64_t turn) {
  if (turns.callers <= 0) {
    return false;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(&turn),
                               sizeof(turn));
  return Hash64(bytes, turns.seed) % static_cast<uint64_t>(turns.callers) == 0;
}

int64_t TurnAt(const WarmUpTurns& turns, TimePoint time) {
  return (time.time_since_epoch() + TurnOffset(turns)) / TurnLength(turns);
}

TimePoint TurnStart(const WarmUpTurns& turns, int64_t turn) {
  return TimePoint(turn * TurnLength(turns) - TurnOffset(turns));
}

}  // namespace peridotmill
