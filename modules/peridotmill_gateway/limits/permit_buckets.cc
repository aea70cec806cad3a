#include "peridotmill_gateway/limits/permit_buckets.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Span over which endpoints count their requests. A higher limit applies after
// it, and a new bucket fills slowly for as long.
constexpr Duration kLimitWindow = std::chrono::seconds(4);
// Shares of the limit at which a bucket fills, later and at first.
constexpr double kFillShare = 0.9;
constexpr double kFirstFillShare = 0.25;
// Permits that a bucket holds at the most: one, or what it gains in this time.
constexpr double kCapacitySeconds = 0.25;
// An endpoint that accepts nothing is asked this often whether that has
// changed, since only its responses tell.
constexpr double kMinPermitsPerSecond = 0.2;
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);
// The age of an observation is rounded when it is sent.
constexpr Duration kSameObservationTime = std::chrono::milliseconds(100);
constexpr size_t kMaxObservations = 64;
// A bucket that was not used for longer fills slowly again.
constexpr Duration kIdleTime = std::chrono::seconds(2);
constexpr Duration kBucketRetention = std::chrono::minutes(1);
constexpr size_t kMaxBuckets = 4096;
constexpr double kMillisecondsPerSecond = 1000;

double Seconds(Duration duration) {
  return ToMilliseconds(duration) / kMillisecondsPerSecond;
}

void RemoveUnusedBuckets(PermitBuckets& buckets, TimePoint now) {
  if (buckets.by_endpoint.size() < kMaxBuckets) {
    return;
  }
  std::erase_if(buckets.by_endpoint, [now](const auto& entry) {
    return now - entry.second.refilled_at > kBucketRetention;
  });
  if (buckets.by_endpoint.size() >= kMaxBuckets) {
    buckets.by_endpoint.erase(
        std::min_element(buckets.by_endpoint.begin(), buckets.by_endpoint.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.refilled_at < b.second.refilled_at;
                         }));
  }
}

void RecordObservation(PermitBucket& bucket,
                       const PermitRequest& request,
                       TimePoint now) {
  const PermitBucket::Observation observation = {request.limit_observed_at,
                                                 request.limit};
  const auto later = std::upper_bound(
      bucket.observations.begin(), bucket.observations.end(), observation.at,
      [](TimePoint at, const auto& other) { return at < other.at; });
  const auto is_same = [&](const PermitBucket::Observation& other) {
    return other.limit == observation.limit &&
           std::chrono::abs(other.at - observation.at) < kSameObservationTime;
  };
  if (std::none_of(bucket.observations.begin(), bucket.observations.end(),
                   is_same)) {
    bucket.observations.insert(later, observation);
  }
  while (bucket.observations.size() > 1 &&
         (now - bucket.observations.front().at > kLimitWindow ||
          bucket.observations.size() > kMaxObservations)) {
    bucket.observations.pop_front();
  }
}

// Returns the lowest limit of the window, since an endpoint may name different
// ones in its responses.
std::optional<RequestRate> LowestLimit(const PermitBucket& bucket) {
  std::optional<RequestRate> lowest;
  for (const PermitBucket::Observation& observation : bucket.observations) {
    if (observation.limit) {
      lowest =
          std::min(lowest.value_or(*observation.limit), *observation.limit);
    }
  }
  return lowest;
}

// Returns the permits that the bucket gains in a second.
double Refill(PermitBucket& bucket, double limit, TimePoint now) {
  const bool is_new = bucket.refilled_at == TimePoint();
  if (is_new || now - bucket.refilled_at > kIdleTime) {
    // Another node may have granted permits meanwhile.
    bucket.opened_at = now;
  }
  if (is_new) {
    bucket.refilled_at = now;
  }
  const double share =
      now - bucket.opened_at < kLimitWindow ? kFirstFillShare : kFillShare;
  const double rate = std::max(share * limit, kMinPermitsPerSecond);
  const double seconds = Seconds(now - bucket.refilled_at);
  bucket.permits = std::min(bucket.permits + rate * seconds,
                            std::max(1.0, rate * kCapacitySeconds));
  bucket.unmet_requests *= std::exp(-seconds);
  bucket.refilled_at = now;
  return rate;
}

}  // namespace

PermitGrant GrantPermits(PermitBuckets& buckets,
                         const PermitRequest& request,
                         TimePoint now) {
  RemoveUnusedBuckets(buckets, now);
  PermitBucket& bucket = buckets.by_endpoint[request.endpoint];
  RecordObservation(bucket, request, now);
  const auto limit = LowestLimit(bucket);
  const auto latest =
      std::find_if(bucket.observations.rbegin(), bucket.observations.rend(),
                   [&](const PermitBucket::Observation& observation) {
                     return observation.limit.has_value() == limit.has_value();
                   });
  PermitGrant grant = {.endpoint = request.endpoint,
                       .limit = limit,
                       .limit_observed_at = latest->at};
  if (!limit) {
    return grant;
  }
  const double rate = Refill(bucket, limit->per_second, now);
  grant.count = std::clamp(static_cast<int>(bucket.permits), 0,
                           std::max(request.count, 0));
  bucket.permits -= grant.count;
  if (grant.count < std::min(request.count, 1)) {
    bucket.unmet_requests += 1;
    const double awaited =
        std::max(bucket.unmet_requests - bucket.permits, 0.0);
    grant.retry_after = std::min<Duration>(
        kMaxRetryAfter,
        FromMilliseconds(kMillisecondsPerSecond * awaited / rate));
  }
  return grant;
}

}  // namespace peridotmill
