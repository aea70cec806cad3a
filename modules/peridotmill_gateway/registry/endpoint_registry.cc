#include "peridotmill_gateway/registry/endpoint_registry.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <utility>

#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Consecutive failures after which an endpoint is ejected. At a normal error
// rate of 14%, three in a row have a probability of less than 1 in 300.
constexpr int kFailuresToEject = 3;
// Duration of the first ejection. It doubles with each further failure, at most
// kMaxEjectionDoublings times.
constexpr Duration kFirstEjectionTime = std::chrono::milliseconds(500);
constexpr int kMaxEjectionDoublings = 3;
// Duration of the ejection of an endpoint to which another node could not
// connect. The report is repeated while connecting fails.
constexpr Duration kReportedEjectionTime = std::chrono::milliseconds(800);
// Bounds of the notices that are remembered. An endpoint exits soon after it
// has announced that, so its notices do not have to be kept for long.
constexpr Duration kNoticeRetention = std::chrono::hours(1);
constexpr size_t kMaxRecordedNotices = 4096;
// A limit ends when no response has named it for this time. A single response
// without it may be damaged, or one of several that differ.
constexpr Duration kLimitMemory = std::chrono::seconds(2);
// An endpoint that claims to be cold for longer is not believed.
constexpr Duration kMaxWarmUp = std::chrono::minutes(10);
// Many requests of a pool may wait for permits at a time.
constexpr Duration kDemandReportInterval = std::chrono::milliseconds(10);
// Time until a permit that is overdue can be expected.
constexpr Duration kMinPermitWait = std::chrono::milliseconds(100);

// Returns whether a pool's serving endpoints are the same with either
// registration. Endpoints register again for each step of their warm-up.
bool HasSamePlace(const EndpointRegistration& a,
                  const EndpointRegistration& b) {
  return a.pool == b.pool && a.failure_domain == b.failure_domain &&
         a.is_draining == b.is_draining && a.started_at_ms == b.started_at_ms &&
         a.address == b.address;
}

}  // namespace

void EndpointRegistry::Put(EndpointRegistration registration) {
  EndpointPtr& endpoint = by_id_[registration.id];
  PoolId old_pool;
  if (endpoint != nullptr) {
    old_pool = endpoint->registration.pool;
    if (endpoint->registration == registration) {
      return;
    }
  }
  const PoolId pool = registration.pool;
  const bool is_place_kept =
      endpoint != nullptr && HasSamePlace(endpoint->registration, registration);
  if (endpoint == nullptr ||
      endpoint->registration.started_at_ms != registration.started_at_ms ||
      endpoint->registration.address != registration.address) {
    if (endpoint != nullptr) {
      endpoint->is_removed = true;
    }
    endpoint = std::make_shared<Endpoint>();
    const auto notices = notices_.find(IncarnationOf(registration));
    if (notices != notices_.end()) {
      endpoint->is_leaving = notices->second.is_leaving;
      endpoint->held_off_until = notices->second.held_off_until;
      endpoint->limit = notices->second.limit;
      endpoint->limit_observed_at = notices->second.limit_observed_at;
      endpoint->warm_up.end = notices->second.warm_up_end;
    }
  }
  endpoint->warm_up.pool = WarmUpOf(pool);
  endpoint->warm_up.pool->last_end =
      std::max(endpoint->warm_up.pool->last_end, endpoint->warm_up.end);
  endpoint->warm_up.endpoint_seed =
      Hash64(registration.id.value(),
             static_cast<uint64_t>(registration.started_at_ms));
  Domain(registration.failure_domain);
  endpoint->domain = domains_.at(registration.failure_domain);
  endpoint->registration = std::move(registration);
  if (is_place_kept) {
    return;
  }
  if (!old_pool.empty() && old_pool != pool) {
    RebuildServing(old_pool);
  }
  RebuildServing(pool);
}

void EndpointRegistry::Remove(const EndpointId& id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) {
    return;
  }
  found->second->is_removed = true;
  const PoolId pool = found->second->registration.pool;
  by_id_.erase(found);
  RebuildServing(pool);
}

void EndpointRegistry::ReplaceAll(
    std::vector<EndpointRegistration> registrations) {
  std::set<EndpointId> kept;
  for (EndpointRegistration& registration : registrations) {
    kept.insert(registration.id);
    Put(std::move(registration));
  }
  std::vector<EndpointId> removed;
  for (const auto& [id, endpoint] : by_id_) {
    if (!kept.contains(id)) {
      removed.push_back(id);
    }
  }
  for (const EndpointId& id : removed) {
    Remove(id);
  }
}

const std::vector<EndpointPtr>& EndpointRegistry::Serving(
    const PoolId& pool) const {
  static const std::vector<EndpointPtr> none;
  const auto found = serving_.find(pool);
  return found == serving_.end() ? none : found->second;
}

NoticeNews EndpointRegistry::RecordNotice(const EndpointIncarnation& endpoint,
                                          const EndpointNotice& notice,
                                          TimePoint now) {
  NoticeNews news;
  if (notice.is_from_endpoint || notice.limit) {
    news.is_limit_changed = SetLimit(endpoint, notice.limit, now, now);
  }
  if (notice.warm_up_left) {
    news.is_cold = RecordWarmUp(endpoint, *notice.warm_up_left, now);
  }
  if (!notice.is_leaving && !notice.hold_off) {
    return news;
  }
  RecordedNotices& notices = FindOrAddNotices(endpoint, now);
  notices.updated_at = now;
  if (notice.is_leaving) {
    news.is_leaving = !std::exchange(notices.is_leaving, true);
  }
  if (notice.hold_off) {
    const TimePoint end = now + *notice.hold_off;
    news.is_held_off = notices.held_off_until <= now && end > now;
    notices.held_off_until = std::max(notices.held_off_until, end);
  }
  const auto registered = by_id_.find(endpoint.id);
  if (registered == by_id_.end() ||
      IncarnationOf(registered->second->registration) != endpoint) {
    return news;
  }
  TimePoint& held_off_until = registered->second->held_off_until;
  held_off_until = std::max(held_off_until, notices.held_off_until);
  if (notice.is_leaving && !registered->second->is_leaving) {
    registered->second->is_leaving = true;
    RebuildServing(registered->second->registration.pool);
  }
  return news;
}

bool EndpointRegistry::SetLimit(const EndpointIncarnation& endpoint,
                                std::optional<RequestRate> limit,
                                TimePoint observed_at,
                                TimePoint now) {
  if (!limit && !notices_.contains(endpoint)) {
    return false;
  }
  RecordedNotices& notices = FindOrAddNotices(endpoint, now);
  if (observed_at < notices.limit_observed_at ||
      (!limit && observed_at - notices.limit_named_at < kLimitMemory)) {
    return false;
  }
  if (limit) {
    notices.limit_named_at = observed_at;
  }
  const bool is_changed = notices.limit != limit;
  notices.limit = limit;
  notices.limit_observed_at = observed_at;
  notices.updated_at = now;
  if (const EndpointPtr registered = Find(endpoint)) {
    registered->limit = limit;
    registered->limit_observed_at = observed_at;
    if (limit && is_changed && on_permits_needed_) {
      on_permits_needed_();
    }
  }
  return is_changed;
}

void EndpointRegistry::RecordPeerLimit(const EndpointIncarnation& endpoint,
                                       std::optional<RequestRate> limit,
                                       TimePoint observed_at) {
  SetLimit(endpoint, limit, observed_at, observed_at);
}

bool EndpointRegistry::IsLimited(const EndpointIncarnation& endpoint) const {
  const auto found = notices_.find(endpoint);
  return found != notices_.end() && found->second.limit;
}

std::vector<EndpointPtr> EndpointRegistry::LimitedEndpoints() const {
  std::vector<EndpointPtr> limited;
  for (const auto& [id, endpoint] : by_id_) {
    if (endpoint->limit) {
      limited.push_back(endpoint);
    }
  }
  return limited;
}

EndpointPtr EndpointRegistry::Find(const EndpointIncarnation& endpoint) const {
  const auto found = by_id_.find(endpoint.id);
  return found != by_id_.end() &&
                 IncarnationOf(found->second->registration) == endpoint
             ? found->second
             : nullptr;
}

void EndpointRegistry::RecordDemand(const PoolId& pool, TimePoint now) {
  const Duration since_last = now - std::exchange(last_demand_[pool], now);
  if (since_last < kDemandReportInterval) {
    return;
  }
  const auto& serving = Serving(pool);
  const bool needs_permits = std::any_of(
      serving.begin(), serving.end(), [now](const EndpointPtr& endpoint) {
        return endpoint->limit && CountPermits(*endpoint, now) == 0;
      });
  if (needs_permits && on_permits_needed_) {
    on_permits_needed_();
  }
}

TimePoint EndpointRegistry::LastDemand(const PoolId& pool) const {
  const auto found = last_demand_.find(pool);
  return found == last_demand_.end() ? TimePoint() : found->second;
}

TimePoint EndpointRegistry::HeldOffUntil(
    const EndpointIncarnation& endpoint) const {
  const auto found = notices_.find(endpoint);
  return found == notices_.end() ? TimePoint() : found->second.held_off_until;
}

EndpointRegistry::RecordedNotices& EndpointRegistry::FindOrAddNotices(
    const EndpointIncarnation& endpoint,
    TimePoint now) {
  const auto found = notices_.find(endpoint);
  if (found != notices_.end()) {
    return found->second;
  }
  std::erase_if(notices_, [now](const auto& entry) {
    return now - entry.second.updated_at > kNoticeRetention;
  });
  if (notices_.size() >= kMaxRecordedNotices) {
    notices_.erase(std::min_element(
        notices_.begin(), notices_.end(), [](const auto& a, const auto& b) {
          return a.second.updated_at < b.second.updated_at;
        }));
  }
  return notices_[endpoint];
}

void EndpointRegistry::EjectReportedEndpoint(const EndpointId& id,
                                             TimePoint now) {
  const auto found = by_id_.find(id);
  if (found != by_id_.end()) {
    Endpoint& endpoint = *found->second;
    endpoint.ejected_until =
        std::max(endpoint.ejected_until, now + kReportedEjectionTime);
  }
}

size_t EndpointRegistry::CountStatedPaces() const {
  return static_cast<size_t>(
      std::count_if(by_id_.begin(), by_id_.end(), [](const auto& entry) {
        return entry.second->pace.stated_at.has_value();
      }));
}

DomainHealth& EndpointRegistry::Domain(const FailureDomainId& domain) {
  std::shared_ptr<DomainHealth>& health = domains_[domain];
  if (health == nullptr) {
    health = std::make_shared<DomainHealth>();
  }
  return *health;
}

std::vector<FailureDomainId> EndpointRegistry::SuspectedDomains() const {
  std::vector<FailureDomainId> suspected;
  for (const auto& [domain, health] : domains_) {
    if (health->is_suspected) {
      suspected.push_back(domain);
    }
  }
  return suspected;
}

void EndpointRegistry::RebuildServing(const PoolId& pool) {
  std::vector<EndpointPtr>& serving = serving_[pool];
  serving.clear();
  for (const auto& [id, endpoint] : by_id_) {
    if (endpoint->registration.pool == pool &&
        !endpoint->registration.is_draining && !endpoint->is_leaving &&
        !evacuated_domains_.contains(endpoint->registration.failure_domain)) {
      serving.push_back(endpoint);
    }
  }
}

void EndpointRegistry::RebuildAllServing() {
  for (const auto& [pool, endpoints] : serving_) {
    RebuildServing(pool);
  }
}

void EndpointRegistry::BeginEvacuation(const FailureDomainId& domain) {
  evacuated_domains_.insert(domain);
  RebuildAllServing();
}

void EndpointRegistry::EndEvacuation(const FailureDomainId& domain,
                                     TimePoint now) {
  evacuated_domains_.erase(domain);
  for (const auto& [id, endpoint] : by_id_) {
    const PoolWarmUp& pool = *endpoint->warm_up.pool;
    if (endpoint->registration.failure_domain == domain &&
        pool.requests_per_second > 0) {
      RecordWarmUp(IncarnationOf(endpoint->registration), pool.duration, now);
    }
  }
  RebuildAllServing();
}

bool EndpointRegistry::IsEvacuated(const EndpointIncarnation& endpoint) const {
  if (evacuated_domains_.empty()) {
    return false;
  }
  const EndpointPtr registered = Find(endpoint);
  return registered == nullptr ||
         evacuated_domains_.contains(registered->registration.failure_domain);
}

const std::shared_ptr<PoolWarmUp>& EndpointRegistry::WarmUpOf(
    const PoolId& pool) {
  std::shared_ptr<PoolWarmUp>& warm_up = warm_ups_[pool];
  if (warm_up == nullptr) {
    warm_up = std::make_shared<PoolWarmUp>();
  }
  return warm_up;
}

void EndpointRegistry::SetWarmUpBounds(
    const std::map<PoolId, PoolWarmUp>& bounds) {
  for (const auto& [pool, warm_up] : warm_ups_) {
    if (!bounds.contains(pool)) {
      warm_up->requests_per_second = 0;
    }
  }
  for (const auto& [pool, bound] : bounds) {
    PoolWarmUp& warm_up = *WarmUpOf(pool);
    warm_up.requests_per_second = bound.requests_per_second;
    warm_up.duration = bound.duration;
    warm_up.callers = bound.callers;
    warm_up.node_seed = bound.node_seed;
  }
}

bool EndpointRegistry::RecordWarmUp(const EndpointIncarnation& endpoint,
                                    Duration left,
                                    TimePoint now) {
  if (left <= Duration::zero()) {
    return false;
  }
  RecordedNotices& notices = FindOrAddNotices(endpoint, now);
  notices.updated_at = now;
  const bool was_warm = notices.warm_up_end <= now;
  notices.warm_up_end =
      std::max(notices.warm_up_end, now + std::min(left, kMaxWarmUp));
  if (const EndpointPtr registered = Find(endpoint)) {
    registered->warm_up.end = notices.warm_up_end;
    TimePoint& last_end = registered->warm_up.pool->last_end;
    last_end = std::max(last_end, notices.warm_up_end);
  }
  return was_warm;
}

TimePoint EndpointRegistry::WarmUpEnd(
    const EndpointIncarnation& endpoint) const {
  const EndpointPtr registered = Find(endpoint);
  return registered == nullptr ||
                 registered->warm_up.pool->requests_per_second == 0
             ? TimePoint()
             : registered->warm_up.end;
}

bool EndpointRegistry::HasWarmingEndpoints(const PoolId& pool,
                                           TimePoint now) const {
  const auto found = warm_ups_.find(pool);
  return found != warm_ups_.end() && found->second->last_end > now &&
         found->second->requests_per_second > 0;
}

size_t EndpointRegistry::CountWarmingEndpoints(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(by_id_.begin(), by_id_.end(), [now](const auto& entry) {
        return IsWarmingUp(entry.second->warm_up, now);
      }));
}

uint64_t EndpointRegistry::warm_up_call_count() const {
  uint64_t calls = 0;
  for (const auto& [pool, warm_up] : warm_ups_) {
    calls += warm_up->calls;
  }
  return calls;
}

void RecordEndpointNotice(EndpointRegistry& registry,
                          EventSink& events,
                          const EndpointIncarnation& endpoint,
                          const EndpointNotice& notice,
                          TimePoint now) {
  const NoticeNews news = registry.RecordNotice(endpoint, notice, now);
  if (news.is_leaving) {
    events.Write("endpoint_leaving", {{"endpoint", endpoint.id.value()}});
  }
  if (news.is_cold) {
    events.Write(
        "endpoint_cold",
        {{"endpoint", endpoint.id.value()},
         {"ms",
          std::to_string(std::lround(ToMilliseconds(*notice.warm_up_left)))}});
  }
  if (news.is_limit_changed) {
    events.Write(
        "endpoint_limit",
        {{"endpoint", endpoint.id.value()},
         {"per_second",
          notice.limit ? std::to_string(notice.limit->per_second) : "none"}});
  }
  if (news.is_held_off) {
    events.Write("endpoint_held_off",
                 {{"endpoint", endpoint.id.value()},
                  {"ms", std::to_string(
                             std::lround(ToMilliseconds(*notice.hold_off)))}});
  }
}

bool IsHeldOff(const Endpoint& endpoint, TimePoint now) {
  return endpoint.held_off_until > now ||
         (endpoint.limit && CountPermits(endpoint, now) == 0) ||
         !AllowsCall(endpoint.warm_up, now);
}

int CountPermits(const Endpoint& endpoint, TimePoint now) {
  return static_cast<int>(
      std::count_if(endpoint.permits.begin(), endpoint.permits.end(),
                    [now](TimePoint expiry) { return expiry > now; }));
}

bool AwaitsPermit(const std::vector<EndpointPtr>& serving, TimePoint now) {
  return FindHoldOffEnd(serving, now) &&
         std::any_of(serving.begin(), serving.end(),
                     [now](const EndpointPtr& endpoint) {
                       return endpoint->held_off_until <= now;
                     });
}

std::optional<TimePoint> FindHoldOffEnd(const std::vector<EndpointPtr>& serving,
                                        TimePoint now) {
  std::optional<TimePoint> first_end;
  for (const EndpointPtr& endpoint : serving) {
    if (!IsHeldOff(*endpoint, now)) {
      return std::nullopt;
    }
    TimePoint end = endpoint->held_off_until;
    if (endpoint->limit) {
      end = std::max({end, endpoint->next_permit_at, now + kMinPermitWait});
    }
    end = std::max(end, NextAllowedCall(endpoint->warm_up, now));
    first_end = std::min(first_end.value_or(end), end);
  }
  return first_end;
}

void BeginCall(Endpoint& endpoint, TimePoint now) {
  if (endpoint.limit) {
    while (!endpoint.permits.empty() && endpoint.permits.front() <= now) {
      endpoint.permits.pop_front();
    }
    if (!endpoint.permits.empty()) {
      endpoint.permits.pop_front();
    }
    ++endpoint.permits_taken;
  }
  RecordWarmUpCall(endpoint.warm_up, now);
  ++endpoint.open_calls;
  endpoint.unanswered_since.push_back(now);
  RecordDomainCall(*endpoint.domain, now);
}

void RecordFirstResponseByte(Endpoint& endpoint,
                             TimePoint started,
                             TimePoint now) {
  RemoveUnansweredCall(endpoint, started);
  RecordDomainResponse(*endpoint.domain, now);
}

void RemoveUnansweredCall(Endpoint& endpoint, TimePoint started) {
  auto& waiting = endpoint.unanswered_since;
  const auto found = std::find(waiting.begin(), waiting.end(), started);
  if (found != waiting.end()) {
    waiting.erase(found);
  }
}

void EndCall(Endpoint& endpoint, CallOutcome outcome, TimePoint now) {
  --endpoint.open_calls;
  if (outcome == CallOutcome::kSuccess || outcome == CallOutcome::kRefused) {
    RecordDomainResponse(*endpoint.domain, now);
  } else if (outcome == CallOutcome::kUnresponsive) {
    RecordUnresponsiveEndpoint(*endpoint.domain, endpoint.registration.id, now);
  }
  if (outcome == CallOutcome::kSuccess) {
    endpoint.consecutive_failures = 0;
    endpoint.ejected_until = TimePoint();
  } else if (outcome == CallOutcome::kFailure ||
             outcome == CallOutcome::kUnresponsive) {
    ++endpoint.consecutive_failures;
    if (outcome == CallOutcome::kUnresponsive) {
      endpoint.consecutive_failures =
          std::max(endpoint.consecutive_failures, kFailuresToEject);
    }
    if (endpoint.consecutive_failures >= kFailuresToEject) {
      const int doublings =
          std::min(endpoint.consecutive_failures - kFailuresToEject,
                   kMaxEjectionDoublings);
      endpoint.ejected_until = now + kFirstEjectionTime * (1 << doublings);
    }
  }
}

}  // namespace peridotmill
