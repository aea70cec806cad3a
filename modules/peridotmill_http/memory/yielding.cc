#include "peridotmill_http/memory/yielding.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// A request of which nothing has arrived for this time is stalled. Longer than
// a lost packet is repeated once or twice.
constexpr Duration kStallTime = std::chrono::seconds(1);
// A request that has arrived at a lower average rate is a trickle, once it has
// taken kTrickleTime.
constexpr double kTrickleBytesPerMs = 16;
constexpr Duration kTrickleTime = std::chrono::seconds(2);
// Connections yield to a new one only after they have been in their state for
// this time.
constexpr Duration kMinSilence = std::chrono::seconds(1);

// Returns the rank in which a connection yields, or nullopt if it does not.
std::optional<int> ClosingRank(const OpenConnection& connection,
                               TimePoint now) {
  const bool is_silent = now - connection.since >= kMinSilence;
  switch (connection.state) {
    case OpenConnection::State::kOpenRequest:
      return std::nullopt;
    case OpenConnection::State::kClosing:
      return 0;
    case OpenConnection::State::kUnfinishedRequest:
      return connection.is_stalled ? std::optional<int>(1) : std::nullopt;
    case OpenConnection::State::kNew:
      return is_silent ? std::optional<int>(2) : std::nullopt;
    case OpenConnection::State::kIdle:
      return is_silent ? std::optional<int>(3) : std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

bool IsStalled(const UnfinishedRequest& request, TimePoint now) {
  if (now - request.last_progress >= kStallTime) {
    return true;
  }
  const Duration age = now - request.start;
  return age >= kTrickleTime && static_cast<double>(request.received_bytes) <
                                    kTrickleBytesPerMs * ToMilliseconds(age);
}

std::vector<size_t> ChooseWhoYields(std::span<const UnfinishedRequest> requests,
                                    size_t needed_bytes,
                                    TimePoint now) {
  std::vector<size_t> stalled;
  size_t available = 0;
  for (size_t i = 0; i < requests.size(); ++i) {
    if (requests[i].charged_bytes > 0 && IsStalled(requests[i], now)) {
      stalled.push_back(i);
      available += requests[i].charged_bytes;
    }
  }
  if (available < needed_bytes) {
    return {};
  }
  std::stable_sort(stalled.begin(), stalled.end(), [&](size_t a, size_t b) {
    return requests[a].last_progress < requests[b].last_progress;
  });
  size_t freed = 0;
  size_t count = 0;
  while (count < stalled.size() && freed < needed_bytes) {
    freed += requests[stalled[count]].charged_bytes;
    ++count;
  }
  stalled.resize(count);
  return stalled;
}

std::optional<size_t> ChooseConnectionToClose(
    std::span<const OpenConnection> connections,
    TimePoint now) {
  std::optional<size_t> chosen;
  int chosen_rank = 0;
  for (size_t i = 0; i < connections.size(); ++i) {
    const auto rank = ClosingRank(connections[i], now);
    if (!rank) {
      continue;
    }
    if (!chosen || *rank < chosen_rank ||
        (*rank == chosen_rank &&
         connections[i].since < connections[*chosen].since)) {
      chosen = i;
      chosen_rank = *rank;
    }
  }
  return chosen;
}

}  // namespace peridotmill
