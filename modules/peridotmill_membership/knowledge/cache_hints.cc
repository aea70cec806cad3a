#include "peridotmill_membership/knowledge/cache_hints.h"

#include <algorithm>

namespace peridotmill {

void QueueHint(CacheHintOutbox& outbox,
               const CacheHint& hint,
               bool is_evicted) {
  std::erase_if(outbox.pending, [&hint](const CacheHintOutbox::Pending& other) {
    return other.hint == hint;
  });
  if (outbox.pending.size() >= kMaxQueuedHints) {
    outbox.pending.pop_front();
    ++outbox.dropped;
  }
  outbox.pending.push_back({hint, is_evicted});
}

std::optional<CacheHintsMessage> TakeHints(CacheHintOutbox& outbox,
                                           TimePoint now) {
  if (now < outbox.next_send || outbox.pending.empty()) {
    return std::nullopt;
  }
  outbox.next_send = std::max(outbox.next_send + kCacheHintInterval,
                              now + kCacheHintInterval / 2);
  CacheHintsMessage message;
  for (size_t i = 0; i < kMaxHintsPerMessage && !outbox.pending.empty(); ++i) {
    const CacheHintOutbox::Pending& newest = outbox.pending.back();
    (newest.is_evicted ? message.evicted : message.held).push_back(newest.hint);
    outbox.pending.pop_back();
  }
  return message;
}

void BoundHints(CacheHintsMessage& message) {
  message.held.resize(std::min(message.held.size(), kMaxHintsPerMessage));
  message.evicted.resize(std::min(message.evicted.size(), kMaxHintsPerMessage));
}

}  // namespace peridotmill
