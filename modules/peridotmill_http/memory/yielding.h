#ifndef PERIDOTMILL_HTTP_MEMORY_YIELDING_H_
#define PERIDOTMILL_HTTP_MEMORY_YIELDING_H_

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// A request whose head or body is still being received. Requests that are
// complete have been accepted: they never yield and are not among these.
struct UnfinishedRequest {
  // Bytes of memory charged for it.
  size_t charged_bytes = 0;
  // Bytes received of it.
  size_t received_bytes = 0;
  // When its first byte and its last one so far were received.
  TimePoint start;
  TimePoint last_progress;
};

// Returns whether the request makes no progress to speak of: nothing of it has
// arrived for a while, or it arrives at a trickle.
bool IsStalled(const UnfinishedRequest& request, TimePoint now);

// Returns the indexes of the requests that are refused so that `needed_bytes`
// become free, or none if the stalled ones do not hold as much.
// Answers callers that begin large requests and do not end them: those without
// progress yield first, the ones that have stood still for the longest time
// before others. A request that progresses never yields to a later one, since a
// crowd of new ones could otherwise keep every request from its end.
std::vector<size_t> ChooseWhoYields(std::span<const UnfinishedRequest> requests,
                                    size_t needed_bytes,
                                    TimePoint now);

// A connection of a caller at the moment when no further one may be opened.
struct OpenConnection {
  enum class State : uint8_t {
    // A request is being run, or its response is being sent.
    kOpenRequest,
    // A response has been sent, and the connection is being closed.
    kClosing,
    // A request is being received.
    kUnfinishedRequest,
    // Nothing has been received yet.
    kNew,
    // The next request is awaited.
    kIdle,
  };
  State state = State::kOpenRequest;
  // Whether its unfinished request is stalled.
  bool is_stalled = false;
  // When the state began, or the last byte of it was received.
  TimePoint since;
};

// Returns the index of the connection that is closed for a new one, or nullopt
// if the new one is closed instead.
// Answers crowds that open connections and leave them: connections that are
// closing yield first, then stalled requests, then connections that have been
// silent from the start for a while, then the one that has been idle for the
// longest time.
std::optional<size_t> ChooseConnectionToClose(
    std::span<const OpenConnection> connections,
    TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_MEMORY_YIELDING_H_
