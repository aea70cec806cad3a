#include "peridotmill_gateway/streams/stream_versions.h"

#include <algorithm>
#include <utility>

namespace peridotmill {
namespace {

constexpr Duration kObserveInterval = std::chrono::milliseconds(300);
constexpr Duration kMinWriteInterval = std::chrono::milliseconds(500);
// With this time for each node, all nodes together make 200 writes a second at
// the most, half of what the store takes.
constexpr Duration kWriteIntervalPerNode = std::chrono::milliseconds(5);
constexpr Duration kWriteRetryDelay = std::chrono::seconds(1);
// A record is of use for kStreamLifetime after its last write.
constexpr Duration kLeaseDuration = 2 * kStreamLifetime;
constexpr Duration kMaxLeaseAge = kStreamLifetime / 2;
// Time after a write of another node is due in which it reaches the store.
constexpr Duration kWriteTime = std::chrono::milliseconds(200);
constexpr Duration kMaxRecordDelay = std::chrono::seconds(2);
// Streams that one process remembers and records.
constexpr size_t kMaxStreams = 20'000;
// Streams of all processes that are read. The pools of all records are read
// also beyond that.
constexpr size_t kMaxRecordedStreams = 200'000;

}  // namespace

StreamVersions::StreamVersions(const Dependencies& dependencies)
    : dependencies_(dependencies) {}

StreamVersions::~StreamVersions() = default;

void StreamVersions::SetConfiguration(
    const ActiveConfiguration& configuration) {
  pools_.clear();
  for (const RouteDefinition& route : configuration.config().routes) {
    if (route.is_resumable) {
      for (const WeightedPool& pool : route.pools) {
        pools_.insert(pool.pool);
      }
    }
  }
  ObserveLater();
}

void StreamVersions::ObserveLater() {
  Observe();
  WriteIfDue();
  observe_timer_ =
      dependencies_.timers.After(kObserveInterval, [this] { ObserveLater(); });
}

void StreamVersions::Observe() {
  const TimePoint now = dependencies_.clock.Now();
  if (!dependencies_.are_registrations_current()) {
    current_since_.reset();
  } else if (!current_since_) {
    current_since_ = now;
  }
  for (const PoolId& pool : pools_) {
    for (const EndpointPtr& endpoint : dependencies_.endpoints.Serving(pool)) {
      last_seen_[pool][endpoint->registration.software_version] = now;
    }
  }
  for (auto& [pool, versions] : last_seen_) {
    std::erase_if(versions, [now](const auto& entry) {
      return now - entry.second > kStreamLifetime;
    });
  }
}

std::optional<std::string> StreamVersions::OnlyVersion(
    const PoolId& pool) const {
  const auto versions = last_seen_.find(pool);
  return versions != last_seen_.end() && versions->second.size() == 1
             ? std::optional(versions->second.begin()->first)
             : std::nullopt;
}

bool StreamVersions::HasSeveralVersions(const PoolId& pool) const {
  const auto versions = last_seen_.find(pool);
  return versions != last_seen_.end() && versions->second.size() > 1;
}

bool StreamVersions::KnowsPast() const {
  return current_since_ &&
         dependencies_.clock.Now() - *current_since_ >= kStreamLifetime;
}

void StreamVersions::Bind(const PoolId& pool,
                          const TeamId& team,
                          const RequestId& request,
                          const std::string& version) {
  if (request.empty()) {
    // Nothing tells the streams of such requests apart.
    return;
  }
  const TimePoint now = dependencies_.clock.Now();
  const StreamKey key(pool, team, request);
  const auto [found, is_new] = streams_.try_emplace(key);
  if (is_new) {
    found->second = {version, now};
    order_.push_back(key);
  } else if (found->second.version != version) {
    // The caller has used one id for two streams.
    found->second.version.reset();
  }
  last_seen_[pool][version] = now;
  has_unwritten_streams_ = true;
  ForgetOldStreams();
  WriteIfDue();
}

void StreamVersions::ForgetOldStreams() {
  const TimePoint now = dependencies_.clock.Now();
  while (!order_.empty() &&
         (order_.size() > kMaxStreams ||
          now - streams_.at(order_.front()).bound_at > kStreamLifetime)) {
    streams_.erase(order_.front());
    order_.pop_front();
  }
}

StreamVersionVerdict StreamVersions::Find(const PoolId& pool,
                                          const TeamId& team,
                                          const RequestId& request,
                                          TimePoint asked_at) {
  using Kind = StreamVersionVerdict::Kind;
  const TimePoint now = dependencies_.clock.Now();
  Observe();
  const StreamKey key(pool, team, request);
  if (const auto own = streams_.find(key); own != streams_.end()) {
    return own->second.version
               ? StreamVersionVerdict{Kind::kKnown, *own->second.version}
               : StreamVersionVerdict{Kind::kUnknown};
  }
  const auto only_version = OnlyVersion(pool);
  if (only_version && KnowsPast()) {
    return {Kind::kKnown, *only_version};
  }
  if (failed_read_at_ && *failed_read_at_ >= asked_at) {
    return {Kind::kUnknown};
  }
  // A node that has begun the stream may not have written that yet.
  const TimePoint last_read_due =
      asked_at +
      std::min<Duration>(WriteInterval() + kWriteTime, kMaxRecordDelay);
  const bool is_read = recorded_ && recorded_->read_at >= asked_at;
  if (is_read) {
    const auto recorded = recorded_->streams.find(key);
    if (recorded != recorded_->streams.end()) {
      return recorded->second
                 ? StreamVersionVerdict{Kind::kKnown, *recorded->second}
                 : StreamVersionVerdict{Kind::kUnknown};
    }
    if (only_version && current_since_ && !recorded_->pools.contains(pool)) {
      return {Kind::kKnown, *only_version};
    }
    if (recorded_->read_at >= last_read_due) {
      return {Kind::kUnknown};
    }
  }
  if (read_ == nullptr && (!is_read || now >= last_read_due)) {
    ReadRecords();
  }
  return {Kind::kWait};
}

Duration StreamVersions::WriteInterval() const {
  return std::max<Duration>(
      kMinWriteInterval,
      kWriteIntervalPerNode * static_cast<int>(dependencies_.count_nodes()));
}

void StreamVersions::WriteIfDue() {
  const bool has_new_pool =
      std::any_of(pools_.begin(), pools_.end(), [this](const PoolId& pool) {
        return HasSeveralVersions(pool) && !written_pools_.contains(pool);
      });
  const bool is_needed =
      has_new_pool ||
      (has_unwritten_streams_ &&
       std::any_of(pools_.begin(), pools_.end(), [this](const PoolId& pool) {
         return HasSeveralVersions(pool);
       }));
  if (!is_needed || write_ != nullptr) {
    return;
  }
  const TimePoint now = dependencies_.clock.Now();
  if (now < next_write_at_) {
    if (write_timer_ == nullptr) {
      write_timer_ = dependencies_.timers.After(next_write_at_ - now, [this] {
        write_timer_.reset();
        WriteIfDue();
      });
    }
    return;
  }
  next_write_at_ = now + WriteInterval();
  if (lease_ != 0 && now - lease_granted_at_ < kMaxLeaseAge) {
    WriteRecord();
    return;
  }
  write_ = dependencies_.store.GrantLease(
      kLeaseDuration, [this](const StoreLease& lease) {
        if (lease.status != StoreCallStatus::kOk) {
          EndWrite(false);
          return;
        }
        lease_ = lease.id;
        lease_granted_at_ = dependencies_.clock.Now();
        WriteRecord();
      });
}

void StreamVersions::WriteRecord() {
  const StreamRecord record = MakeRecord();
  written_pools_ = record.pools;
  has_unwritten_streams_ = false;
  write_ =
      dependencies_.store.Put({.key = kStreamKeyPrefix + dependencies_.process,
                               .value = EncodeStreamRecord(record),
                               .lease = lease_},
                              [this](StoreCallStatus status) {
                                if (status == StoreCallStatus::kConflict) {
                                  // The lease has expired.
                                  lease_ = 0;
                                }
                                EndWrite(status == StoreCallStatus::kOk);
                              });
}

void StreamVersions::EndWrite(bool is_written) {
  write_.reset();
  if (!is_written) {
    written_pools_.clear();
    has_unwritten_streams_ = true;
    next_write_at_ = dependencies_.clock.Now() + kWriteRetryDelay;
  }
  WriteIfDue();
}

StreamRecord StreamVersions::MakeRecord() const {
  StreamRecord record;
  for (const PoolId& pool : pools_) {
    if (HasSeveralVersions(pool)) {
      record.pools.insert(pool);
    }
  }
  for (const auto& [key, stream] : streams_) {
    if (stream.version) {
      record.streams.push_back({key, *stream.version});
    }
  }
  return record;
}

void StreamVersions::ReadRecords() {
  reading_ = {.read_at = dependencies_.clock.Now()};
  ReadPage("");
}

void StreamVersions::ReadPage(const std::string& after_key) {
  read_ = dependencies_.store.ReadPrefix(
      kStreamKeyPrefix, after_key, [this](const StorePage& page) {
        if (page.status != StoreCallStatus::kOk) {
          read_.reset();
          failed_read_at_ = dependencies_.clock.Now();
          return;
        }
        for (const StoreEntry& entry : page.entries) {
          const auto record = DecodeStreamRecord(entry.value);
          if (!record) {
            dependencies_.events.Write("stream_record_unreadable",
                                       {{"key", entry.key}});
            continue;
          }
          reading_.pools.insert(record->pools.begin(), record->pools.end());
          for (const RecordedStream& stream : record->streams) {
            if (reading_.streams.size() >= kMaxRecordedStreams) {
              // A stream that is left out is unknown.
              break;
            }
            const auto [found, is_new] =
                reading_.streams.try_emplace(stream.key, stream.version);
            if (!is_new && found->second != stream.version) {
              found->second.reset();
            }
          }
        }
        if (page.has_more && !page.entries.empty()) {
          ReadPage(page.entries.back().key);
          return;
        }
        read_.reset();
        recorded_ = std::exchange(reading_, {});
      });
}

}  // namespace peridotmill
