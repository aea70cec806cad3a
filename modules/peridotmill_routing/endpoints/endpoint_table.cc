#include "peridotmill_routing/endpoints/endpoint_table.h"

#include <algorithm>
#include <cassert>
#include <unordered_set>
#include <utility>

#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_routing/endpoints/outlier_ejection.h"

namespace peridotmill {
namespace {

// Exceeds the lag of any host list or peer report.
constexpr Duration kDepartedRetention = std::chrono::minutes(10);

EndpointView* FindMutableEndpoint(EndpointTable& table,
                                  const EndpointId& endpoint) {
  const auto found = table.positions.find(endpoint);
  return found == table.positions.end() ? nullptr
                                        : &table.endpoints[found->second];
}

void RecordDeparture(EndpointTable& table,
                     const EndpointId& endpoint,
                     Incarnation incarnation,
                     TimePoint now) {
  if (table.departed.size() >= kMaxEndpoints) {
    std::erase_if(table.departed, [&](const auto& entry) {
      return now - entry.second.seen_at > kDepartedRetention;
    });
  }
  const auto found = table.departed.find(endpoint);
  if (found != table.departed.end()) {
    found->second.incarnation =
        std::max(found->second.incarnation, incarnation);
    found->second.seen_at = now;
  } else if (table.departed.size() < kMaxEndpoints) {
    table.departed.emplace(endpoint, DepartedEndpoint{incarnation, now});
  }
}

bool IsDeparted(const EndpointTable& table, const EndpointRecord& record) {
  const auto found = table.departed.find(record.id);
  return found != table.departed.end() &&
         found->second.incarnation >= record.incarnation;
}

void MarkLeaving(EndpointTable& table, EndpointView& view, TimePoint now) {
  view.is_leaving = true;
  RecordDeparture(table, view.id, view.incarnation, now);
}

void RebuildOtherDomainSubset(const EndpointTable& table, PoolIndex& index) {
  std::vector<std::pair<uint64_t, uint32_t>> scores;
  for (const uint32_t position : index.members) {
    const EndpointView& view = table.endpoints[position];
    // A leaving endpoint must not take one of the eight places of the subset.
    if (!view.is_own_domain && view.is_listed && !view.is_leaving) {
      scores.emplace_back(RendezvousScore(table.node.value(), view.id.value()),
                          position);
    }
  }
  std::sort(scores.rbegin(), scores.rend());
  index.other_domains.clear();
  for (size_t i = 0; i < std::min(scores.size(), kOtherDomainEndpointsPerPool);
       ++i) {
    index.other_domains.push_back(scores[i].second);
  }
}

void RebuildIndex(EndpointTable& table) {
  table.positions.clear();
  std::map<PoolId, PoolIndex> pools;
  for (uint32_t i = 0; i < table.endpoints.size(); ++i) {
    const EndpointView& view = table.endpoints[i];
    table.positions.emplace(view.id, i);
    PoolIndex& index = pools[view.pool];
    index.members.push_back(i);
    if (view.is_own_domain) {
      index.own_domain.push_back(i);
    }
  }
  for (auto& [pool, index] : pools) {
    RebuildOtherDomainSubset(table, index);
    const auto before = table.pools.find(pool);
    if (before != table.pools.end()) {
      index.round_robin_next = before->second.round_robin_next;
    }
  }
  table.pools = std::move(pools);
}

// Makes the view of a new endpoint or incarnation. Its health starts fresh;
// `limit` is the concurrency configured for the pool.
EndpointView MakeView(const EndpointTable& table,
                      const EndpointRecord& record,
                      int32_t limit) {
  EndpointView view;
  view.id = record.id;
  view.address = record.address;
  view.pool = record.pool;
  view.failure_domain = record.failure_domain;
  view.incarnation = record.incarnation;
  view.is_own_domain = record.failure_domain == table.own_domain;
  view.limit = limit;
  return view;
}

int32_t InitialConcurrencyLimit(const std::map<PoolId, Pool>& pools,
                                const PoolId& pool) {
  const auto found = pools.find(pool);
  return std::max(
      1, found == pools.end() ? Pool().concurrency : found->second.concurrency);
}

bool HasSamePlacement(const EndpointView& view, const EndpointRecord& record) {
  return view.address == record.address && view.pool == record.pool &&
         view.failure_domain == record.failure_domain;
}

// Adds or updates the endpoint of one record. Returns whether the index must be
// rebuilt.
bool ApplyRecord(EndpointTable& table,
                 const EndpointRecord& record,
                 int32_t limit,
                 TimePoint now) {
  const bool is_leaving = record.is_leaving || IsDeparted(table, record);
  EndpointView* view = FindMutableEndpoint(table, record.id);
  bool is_changed = false;
  if (view == nullptr) {
    if (table.endpoints.size() >= kMaxEndpoints) {
      ++table.ignored_endpoints;
      return false;
    }
    table.positions.emplace(record.id, table.endpoints.size());
    view = &table.endpoints.emplace_back(MakeView(table, record, limit));
    is_changed = true;
  } else if (record.incarnation < view->incarnation) {
    return false;
  } else if (record.incarnation > view->incarnation ||
             !HasSamePlacement(*view, record)) {
    *view = MakeView(table, record, limit);
    is_changed = true;
  }
  is_changed |= !view->is_listed || (is_leaving && !view->is_leaving);
  view->is_listed = true;
  if (is_leaving) {
    MarkLeaving(table, *view, now);
  }
  return is_changed;
}

// Removes endpoints that are not listed and have no attempts in flight.
void RemoveIdleUnlistedEndpoints(EndpointTable& table) {
  const auto removed =
      std::erase_if(table.endpoints, [](const EndpointView& view) {
        return !view.is_listed && view.in_flight == 0;
      });
  if (removed > 0) {
    RebuildIndex(table);
  }
}

EndpointView* ReleaseInFlight(EndpointTable& table,
                              const AttemptTicket& ticket) {
  EndpointView* view = FindMutableEndpoint(table, ticket.endpoint);
  if (view == nullptr || view->incarnation != ticket.incarnation) {
    return nullptr;
  }
  assert(view->in_flight > 0);
  view->in_flight = std::max(0, view->in_flight - 1);
  return view;
}

void RemoveIfIdleAndUnlisted(EndpointTable& table, const EndpointView& view) {
  if (!view.is_listed && view.in_flight == 0) {
    RemoveIdleUnlistedEndpoints(table);
  }
}

}  // namespace

EndpointTable MakeEndpointTable(NodeId node, FailureDomainId own_domain) {
  EndpointTable table;
  table.node = std::move(node);
  table.own_domain = std::move(own_domain);
  return table;
}

void ApplyHostList(EndpointTable& table,
                   const HostList& list,
                   const std::map<PoolId, Pool>& pools,
                   TimePoint now) {
  std::unordered_set<EndpointId> listed;
  bool is_changed = false;
  for (const EndpointRecord& record : list.endpoints) {
    listed.insert(record.id);
    is_changed |= ApplyRecord(table, record,
                              InitialConcurrencyLimit(pools, record.pool), now);
  }
  for (EndpointView& view : table.endpoints) {
    if (view.is_listed && !listed.contains(view.id)) {
      view.is_listed = false;
      is_changed = true;
    }
  }
  std::erase_if(table.departed, [&](const auto& entry) {
    return now - entry.second.seen_at > kDepartedRetention;
  });
  if (is_changed) {
    std::erase_if(table.endpoints, [](const EndpointView& view) {
      return !view.is_listed && view.in_flight == 0;
    });
    RebuildIndex(table);
  }
}

void ApplyLoadReport(EndpointTable& table,
                     const LoadReport& report,
                     TimePoint now) {
  EndpointView* view = FindMutableEndpoint(table, report.endpoint);
  if (view == nullptr) {
    return;
  }
  const bool is_current_incarnation = report.incarnation == Incarnation() ||
                                      report.incarnation == view->incarnation;
  if (report.load.is_leaving) {
    ApplyLeaving(
        table, report.endpoint,
        is_current_incarnation ? view->incarnation : report.incarnation, now);
  }
  if (!is_current_incarnation ||
      (view->has_report && report.measured_at < view->reported_at)) {
    return;
  }
  view->has_report = true;
  view->reported_load = report.load.running + report.load.waiting;
  view->other_nodes_load = std::max(0, view->reported_load - view->in_flight);
  view->reported_at = report.measured_at;
  view->loaded_models = report.load.loaded_models;
}

void ApplyLeaving(EndpointTable& table,
                  const EndpointId& endpoint,
                  Incarnation incarnation,
                  TimePoint now) {
  EndpointView* view = FindMutableEndpoint(table, endpoint);
  if (view != nullptr && incarnation < view->incarnation) {
    return;
  }
  RecordDeparture(table, endpoint, incarnation, now);
  if (view != nullptr && !view->is_leaving) {
    // A report about a later incarnation implies that the current one ended.
    view->is_leaving = true;
    RebuildOtherDomainSubset(table, table.pools.at(view->pool));
  }
}

void SetConcurrencyLimit(EndpointTable& table,
                         const EndpointId& endpoint,
                         int32_t limit) {
  if (EndpointView* view = FindMutableEndpoint(table, endpoint)) {
    view->limit = std::max(1, limit);
  }
}

AttemptTicket BeginAttempt(EndpointTable& table,
                           const EndpointId& endpoint,
                           TimePoint now) {
  EndpointView* view = FindMutableEndpoint(table, endpoint);
  assert(view != nullptr);
  ++view->in_flight;
  return {endpoint, view->incarnation, now};
}

void EndAttempt(EndpointTable& table,
                const AttemptTicket& ticket,
                AttemptOutcome outcome,
                Duration expected,
                TimePoint now) {
  if (EndpointView* view = ReleaseInFlight(table, ticket)) {
    RecordHealth(table, *view, outcome, now - ticket.started, expected, now);
    RemoveIfIdleAndUnlisted(table, *view);
  }
}

void EndCancelledAttempt(EndpointTable& table, const AttemptTicket& ticket) {
  if (const EndpointView* view = ReleaseInFlight(table, ticket)) {
    RemoveIfIdleAndUnlisted(table, *view);
  }
}

const EndpointView* FindEndpoint(const EndpointTable& table,
                                 const EndpointId& endpoint) {
  const auto found = table.positions.find(endpoint);
  return found == table.positions.end() ? nullptr
                                        : &table.endpoints[found->second];
}

}  // namespace peridotmill
