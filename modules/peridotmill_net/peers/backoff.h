#ifndef PERIDOTMILL_NET_PEERS_BACKOFF_H_
#define PERIDOTMILL_NET_PEERS_BACKOFF_H_

#include <algorithm>
#include <chrono>

#include "peridotmill_core/maths/random.h"

namespace peridotmill {

// Time to wait after the `failures`-th failure in a row, counted from 1: random
// between half and all of a delay that doubles from 200 ms up to `max`.
inline std::chrono::milliseconds BackoffDelay(int failures,
                                              std::chrono::milliseconds max,
                                              Random& random) {
  constexpr int kMaxDoublings = 16;
  const auto delay =
      std::min(max, std::chrono::milliseconds(
                        200LL << std::clamp(failures - 1, 0, kMaxDoublings)));
  const int64_t half = delay.count() / 2;
  return std::chrono::milliseconds(
      half + static_cast<int64_t>(random.Below(
                 static_cast<uint64_t>(delay.count() - half) + 1)));
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_PEERS_BACKOFF_H_
