#include "peridotmill_membership/knowledge/domain_summaries.h"

#include <algorithm>
#include <limits>

#include "peridotmill_membership/knowledge/endpoint_value.h"

namespace peridotmill {
namespace {

uint16_t Saturate(int64_t value) {
  return static_cast<uint16_t>(
      std::clamp<int64_t>(value, 0, std::numeric_limits<uint16_t>::max()));
}

uint8_t Eighths(int64_t load, int64_t capacity) {
  if (capacity <= 0) {
    return load > 0 ? 255 : 0;
  }
  return static_cast<uint8_t>(std::min<int64_t>(load * 8 / capacity, 255));
}

struct PoolTotal {
  int64_t capacity = 0;
  int64_t load = 0;
  int64_t live_endpoints = 0;
};

KnownSummary* FindOrAdd(std::map<uint32_t, KnownSummary>& table,
                        uint32_t pool,
                        uint64_t& refused_full) {
  const auto found = table.find(pool);
  if (found != table.end()) {
    return &found->second;
  }
  if (table.size() >= kMaxSummaries) {
    ++refused_full;
    return nullptr;
  }
  KnownSummary& added = table[pool];
  added.summary.pool = pool;
  added.is_unsent = true;
  return &added;
}

// Takes what changed, and in each round another share of the rest, beginning at
// `next` and up to the bound of a message.
std::vector<PoolSummary> TakeUnsent(std::map<uint32_t, KnownSummary>& table,
                                    uint32_t round,
                                    TimePoint now,
                                    size_t limit,
                                    uint32_t& next) {
  std::erase_if(table, [now](const auto& item) {
    return now - item.second.received >= kSummaryExpiry;
  });
  std::vector<PoolSummary> taken;
  auto item = table.lower_bound(next);
  for (size_t i = 0; i < table.size(); ++i, ++item) {
    item = item == table.end() ? table.begin() : item;
    KnownSummary& known = item->second;
    if (taken.size() >= limit) {
      next = item->first;
      return taken;
    }
    // Only what is still confirmed is repeated, or a lost domain's summaries
    // would be kept alive by its former neighbours.
    const bool is_repeated =
        item->first % kSummaryRepeat == round &&
        now - known.received < kSummaryInterval * (kSummaryRepeat + 1);
    if (known.is_unsent || is_repeated) {
      taken.push_back(known.summary);
      known.is_unsent = false;
    }
  }
  return taken;
}

}  // namespace

std::vector<PoolSummary> SummarisePools(
    const EndpointKnowledge& knowledge,
    const FailureDomainId& domain,
    const std::vector<EndpointRecord>& endpoints,
    const std::map<PoolId, int32_t>& concurrency_of_pool) {
  std::map<PoolId, PoolTotal> totals;
  for (const EndpointRecord& record : endpoints) {
    if (record.failure_domain != domain) {
      continue;
    }
    PoolTotal& total = totals[record.pool];
    const auto known =
        knowledge.endpoints.find(FingerprintOf(record.id.value()));
    if (record.is_leaving || known == knowledge.endpoints.end() ||
        known->second.value.is_leaving || known->second.value.is_unreachable) {
      continue;
    }
    const auto concurrency = concurrency_of_pool.find(record.pool);
    total.capacity +=
        concurrency == concurrency_of_pool.end() ? 1 : concurrency->second;
    total.load += known->second.value.running + known->second.value.waiting;
    ++total.live_endpoints;
  }
  std::vector<PoolSummary> pools;
  pools.reserve(totals.size());
  for (const auto& [pool, total] : totals) {
    pools.push_back(
        {DomainPoolFingerprint(domain, pool), Saturate(total.capacity),
         Eighths(total.load, total.capacity),
         static_cast<uint8_t>(std::min<int64_t>(total.live_endpoints, 255))});
  }
  return pools;
}

std::optional<SummaryMessages> TakeSummaries(
    DomainSummaries& summaries,
    const std::vector<PoolSummary>& own_pools,
    TimePoint now) {
  if (now < summaries.next_send) {
    return std::nullopt;
  }
  summaries.next_send = std::max(summaries.next_send + kSummaryInterval,
                                 now + kSummaryInterval / 2);
  for (const PoolSummary& pool : own_pools) {
    KnownSummary* known =
        FindOrAdd(summaries.own, pool.pool, summaries.refused_full);
    if (known != nullptr) {
      known->is_unsent = known->is_unsent || known->summary != pool;
      known->summary = pool;
      known->received = now;
    }
  }
  summaries.round = (summaries.round + 1) % kSummaryRepeat;
  SummaryMessages messages;
  messages.to_remote_relays.pools =
      TakeUnsent(summaries.own, summaries.round, now, kMaxOwnPerMessage,
                 summaries.next_own);
  messages.to_domain_peers.pools =
      TakeUnsent(summaries.remote, summaries.round, now, kMaxRemotePerMessage,
                 summaries.next_remote);
  return messages;
}

DomainSummaryMessage CompleteSummary(const DomainSummaries& summaries,
                                     TimePoint now) {
  DomainSummaryMessage message;
  for (const auto& [pool, known] : summaries.remote) {
    if (now - known.received < kSummaryExpiry) {
      message.pools.push_back(known.summary);
    }
  }
  return message;
}

void ApplySummary(DomainSummaries& summaries,
                  const DomainSummaryMessage& message,
                  bool is_forwarded,
                  TimePoint now) {
  const size_t count = std::min(message.pools.size(), kMaxSummaries);
  for (size_t i = 0; i < count; ++i) {
    const PoolSummary& pool = message.pools[i];
    KnownSummary* known =
        FindOrAdd(summaries.remote, pool.pool, summaries.refused_full);
    if (known == nullptr) {
      continue;
    }
    const bool is_changed = known->is_unsent || known->summary != pool;
    known->is_unsent = is_forwarded && is_changed;
    known->summary = pool;
    known->received = now;
  }
}

std::optional<PoolSummary> FindSummary(const DomainSummaries& summaries,
                                       uint32_t pool,
                                       TimePoint now) {
  const auto found = summaries.remote.find(pool);
  if (found == summaries.remote.end() ||
      now - found->second.received >= kSummaryExpiry) {
    return std::nullopt;
  }
  return found->second.summary;
}

}  // namespace peridotmill
