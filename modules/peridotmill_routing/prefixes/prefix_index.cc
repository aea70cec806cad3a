#include "peridotmill_routing/prefixes/prefix_index.h"

#include <algorithm>
#include <optional>

namespace peridotmill {
namespace {

std::optional<uint32_t> FindOrAddSource(PrefixIndex& index,
                                        const EndpointId& endpoint) {
  const auto found = index.source_positions.find(endpoint);
  if (found != index.source_positions.end()) {
    return found->second;
  }
  if (index.sources.size() >= kMaxPrefixSources) {
    // Names of former endpoints accumulate over months. Clearing the index
    // loses nothing but hints.
    index = PrefixIndex();
  }
  const auto position = static_cast<uint32_t>(index.sources.size());
  index.sources.push_back({endpoint, 0, 0});
  index.source_positions.emplace(endpoint, position);
  return position;
}

bool IsValid(const PrefixIndex& index, const PrefixHint& hint, TimePoint now) {
  return now - hint.recorded_at <= kPrefixHintLifetime &&
         index.sources[hint.source].generation == hint.generation;
}

void EraseInvalidHints(PrefixIndex& index,
                       uint64_t prefix_hash,
                       TimePoint now) {
  const auto found = index.hints.find(prefix_hash);
  if (found == index.hints.end()) {
    return;
  }
  std::erase_if(found->second, [&](const PrefixHint& hint) {
    return !IsValid(index, hint, now);
  });
  if (found->second.empty()) {
    index.hints.erase(found);
  }
}

// Removes the prefix's hints that were not renewed after `oldest`.
void EraseHintsNotRenewed(PrefixIndex& index,
                          uint64_t prefix_hash,
                          TimePoint oldest) {
  const auto found = index.hints.find(prefix_hash);
  if (found == index.hints.end()) {
    return;
  }
  std::erase_if(found->second, [&](const PrefixHint& hint) {
    return hint.recorded_at <= oldest;
  });
  if (found->second.empty()) {
    index.hints.erase(found);
  }
}

// Removes expired and oldest entries until `hints` and `insertion_order` each
// have space for another one within kMaxPrefixes.
void EvictToCapacity(PrefixIndex& index, TimePoint now) {
  while (!index.insertion_order.empty() &&
         now - index.insertion_order.front().second > kPrefixHintLifetime) {
    EraseInvalidHints(index, index.insertion_order.front().first, now);
    index.insertion_order.pop_front();
  }
  while (index.insertion_order.size() >= kMaxPrefixes) {
    EraseHintsNotRenewed(index, index.insertion_order.front().first,
                         index.insertion_order.front().second);
    index.insertion_order.pop_front();
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
        // Appends to `insertion_order` at most once a second for a prefix that
        // is in use.
        const bool was_just_recorded =
            hint.generation == generation &&
            at - hint.recorded_at < std::chrono::seconds(1);
        hint.recorded_at = std::max(hint.recorded_at, at);
        hint.generation = generation;
        if (was_just_recorded) {
          return;
        }
        EvictToCapacity(index, at);
        index.insertion_order.emplace_back(prefix_hash, at);
        return;
      }
    }
  }
  EvictToCapacity(index, at);
  std::vector<PrefixHint>& hints = index.hints[prefix_hash];
  if (hints.size() >= kMaxHintsPerPrefix) {
    hints.erase(std::min_element(hints.begin(), hints.end(),
                                 [](const PrefixHint& a, const PrefixHint& b) {
                                   return a.recorded_at < b.recorded_at;
                                 }));
  }
  hints.push_back({source, generation, at});
  index.insertion_order.emplace_back(prefix_hash, at);
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
  const std::optional<uint32_t> source = FindOrAddSource(index, endpoint);
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
  AddHint(index, *FindOrAddSource(index, endpoint), prefix_hash, at);
}

void InvalidatePrefixes(PrefixIndex& index, const EndpointId& endpoint) {
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
      if (IsValid(index, hint, now)) {
        endpoints.push_back(index.sources[hint.source].endpoint);
      }
    }
  }
  return endpoints;
}

}  // namespace peridotmill
