#ifndef PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_CACHE_HINTS_H_
#define PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_CACHE_HINTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_membership/messages/peer_message.h"

namespace peridotmill {

inline constexpr Duration kCacheHintInterval = std::chrono::seconds(2);
// Bound of the traffic: 21 peers with 8 hints each in 2 s are under 4.5 KB/s.
inline constexpr size_t kMaxHintsPerMessage = 8;
// Hints expire after 30 s; a longer queue would send expired ones.
inline constexpr size_t kMaxQueuedHints = 64;

// Cache hints of the endpoints that this node reads, waiting to be sent.
struct CacheHintOutbox {
  struct Pending {
    CacheHint hint;
    bool is_evicted = false;
  };
  // Newest last; at most kMaxQueuedHints.
  std::deque<Pending> pending;
  TimePoint next_send;
  uint64_t dropped = 0;
};

// Queues a hint; it replaces an older one of the same prefix and endpoint, and
// the oldest is dropped when the queue is full.
void QueueHint(CacheHintOutbox& outbox, const CacheHint& hint, bool is_evicted);

// The newest hints for all domain peers, when due.
std::optional<CacheHintsMessage> TakeHints(CacheHintOutbox& outbox,
                                           TimePoint now);

// Cuts a received message to what a correct sender sends.
void BoundHints(CacheHintsMessage& message);

}  // namespace peridotmill

#endif  // PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_CACHE_HINTS_H_
