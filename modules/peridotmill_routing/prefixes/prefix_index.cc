#include "peridotmill_routing/prefixes/prefix_index.h"

#include <algorithm>
#include <optional>

namespace peridotmill {
namespace {

std::optional<uint32_t> SourceOf(PrefixIndex& index,
                                 const EndpointId& endpoint) {
  const auto found = index.source_positions.find(endpoint);
  if (found != index.source_positions.end()) {
    return found->second;
  }
  if (index.sources.size() >= kMaxPrefixSources) {
    // Endpoint names come and go over months; starting anew loses hints only.
    index = PrefixIndex();
  }
  const auto position = static_cast<uint32_t>(index.sources.size());
  index.sources.push_back({endpoint, 0, 0});
  index.source_positions.emplace(endpoint, position);
  return position;
}

bool IsLive(const PrefixIndex& index, const PrefixHint& hint, TimePoint now) {
  return now - hint.at <= kPrefixHintExpiry &&
         index.sources[hint.source].generation == hint.generation;
}

void DropDead(PrefixIndex& index, uint64_t prefix_hash, TimePoint now) {
  const auto found = index.hints.find(prefix_hash);
  if (found == index.hints.end()) {
    return;
  }
  std::erase_if(found->second, [&](const PrefixHint& hint) {
    return !IsLive(index, hint, now);
  });
  if (found->second.empty()) {
    index.hints.erase(found);
  }
}

// Removes hints that were not renewed after `oldest`.
void DropNotRenewed(PrefixIndex& index,
                    uint64_t prefix_hash,
                    TimePoint oldest) {
  const auto found = index.hints.find(prefix_hash);
  if (found == index.hints.end()) {
    return;
  }
  std::erase_if(found->second,
                [&](const PrefixHint& hint) { return hint.at <= oldest; });
  if (found->second.empty()) {
    index.hints.erase(found);
  }
}

// Keeps both `hints` and `order` within kMaxPrefixes entries.
void MakeRoom(PrefixIndex& index, TimePoint now) {
  while (!index.order.empty() &&
         now - index.order.front().second > kPrefixHintExpiry) {
    DropDead(index, index.order.front().first, now);
    index.order.pop_front();
  }
  while (index.order.size() >= kMaxPrefixes) {
    DropNotRenewed(index, index.order.front().first,
                   index.order.front().second);
    index.order.pop_front();
  }
}

void AddHint(PrefixIndex& index,
             uint32_t source,
             uint64_t prefix_hash,
             TimePoint at) {
  const auto found = index.hints.find(prefix_hash);
  const uint32_t generation = index.sources[source].generation;
  if (found != index.hints.end()) {
    for (PrefixHint& hint : found->second) {
      if (hint.source == source) {
        // `order` is extended at most once a second for a prefix in use.
        const bool is_fresh = hint.generation == generation &&
                              at - hint.at < std::chrono::seconds(1);
        hint.at = std::max(hint.at, at);
        hint.generation = generation;
        if (is_fresh) {
          return;
        }
        MakeRoom(index, at);
        index.order.emplace_back(prefix_hash, at);
        return;
      }
    }
  }
  MakeRoom(index, at);
  std::vector<PrefixHint>& hints = index.hints[prefix_hash];
  if (hints.size() >= kMaxHintsPerPrefix) {
    hints.erase(std::min_element(
        hints.begin(), hints.end(),
        [](const PrefixHint& a, const PrefixHint& b) { return a.at < b.at; }));
  }
  hints.push_back({source, generation, at});
  index.order.emplace_back(prefix_hash, at);
}

void RemoveHint(PrefixIndex& index, uint32_t source, uint64_t prefix_hash) {
  const auto found = index.hints.find(prefix_hash);
  if (found == index.hints.end()) {
    return;
  }
  std::erase_if(found->second,
                [&](const PrefixHint& hint) { return hint.source == source; });
  if (found->second.empty()) {
    index.hints.erase(found);
  }
}

}  // namespace

void ApplyCacheEvents(PrefixIndex& index,
                      const EndpointId& endpoint,
                      const std::vector<CacheEvent>& events,
                      TimePoint now) {
  const std::optional<uint32_t> source = SourceOf(index, endpoint);
  for (const CacheEvent& event : events) {
    PrefixSource& state = index.sources[*source];
    if (event.sequence <= state.last_sequence) {
      continue;
    }
    if (state.last_sequence != 0 && event.sequence > state.last_sequence + 1) {
      ++state.generation;
    }
    state.last_sequence = event.sequence;
    if (event.is_evicted) {
      RemoveHint(index, *source, event.prefix_hash);
    } else {
      AddHint(index, *source, event.prefix_hash, now);
    }
  }
}

void RecordPrefix(PrefixIndex& index,
                  const EndpointId& endpoint,
                  uint64_t prefix_hash,
                  TimePoint at) {
  AddHint(index, *SourceOf(index, endpoint), prefix_hash, at);
}

void ForgetPrefixes(PrefixIndex& index, const EndpointId& endpoint) {
  const auto found = index.source_positions.find(endpoint);
  if (found != index.source_positions.end()) {
    ++index.sources[found->second].generation;
    index.sources[found->second].last_sequence = 0;
  }
}

std::vector<EndpointId> EndpointsWithPrefix(const PrefixIndex& index,
                                            uint64_t prefix_hash,
                                            TimePoint now) {
  std::vector<EndpointId> endpoints;
  const auto found = index.hints.find(prefix_hash);
  if (found != index.hints.end()) {
    for (const PrefixHint& hint : found->second) {
      if (IsLive(index, hint, now)) {
        endpoints.push_back(index.sources[hint.source].endpoint);
      }
    }
  }
  return endpoints;
}

}  // namespace peridotmill
