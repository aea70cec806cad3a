#include "peridotmill_gateway/quarantine/quarantine_records.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "peridotmill_gateway/quarantine/quarantine_entry.h"

namespace peridotmill {
namespace {

constexpr Duration kLeaseDuration = kMaxQuarantine;
// A new lease is requested for a write when the current one is older, so that
// each record lasts for most of kLeaseDuration after its last write.
constexpr Duration kMaxLeaseAge = std::chrono::minutes(1);
// Records whose revision this node remembers.
constexpr size_t kMaxRecords = 4 * kMaxQuarantines;
// Conflicts after which a write gives up: each is a write of another node.
constexpr int kMaxConflicts = 4;

std::string KeyOf(SuspectId id) {
  return kQuarantineKeyPrefix + ToString(id);
}

std::optional<SuspectId> ParseKey(std::string_view key) {
  constexpr std::string_view kPrefix = kQuarantineKeyPrefix;
  constexpr int kHexadecimal = 16;
  if (!key.starts_with(kPrefix)) {
    return std::nullopt;
  }
  key.remove_prefix(kPrefix.size());
  uint64_t id = 0;
  const auto [end, error] =
      std::from_chars(key.data(), key.data() + key.size(), id, kHexadecimal);
  return error == std::errc() && end == key.data() + key.size()
             ? std::optional(SuspectId(id))
             : std::nullopt;
}

}  // namespace

std::string EncodeQuarantineRecord(int probes) {
  return "probes=" + std::to_string(probes);
}

int DecodeQuarantineRecord(const std::string& value) {
  constexpr std::string_view kField = "probes=";
  int probes = 0;
  if (value.starts_with(kField)) {
    std::from_chars(value.data() + kField.size(), value.data() + value.size(),
                    probes);
  }
  return std::clamp(probes, 0, kMaxProbes);
}

QuarantineRecords::QuarantineRecords(const Dependencies& dependencies)
    : dependencies_(dependencies) {}

QuarantineRecords::~QuarantineRecords() = default;

void QuarantineRecords::Load(RecordCallback callback) {
  on_record_ = std::move(callback);
  ReadPage("");
}

void QuarantineRecords::ReadPage(const std::string& after_key) {
  read_ = dependencies_.store.ReadPrefix(
      kQuarantineKeyPrefix, after_key,
      [this, after_key](const StorePage& page) {
        if (page.status != StoreCallStatus::kOk) {
          dependencies_.retry_queue.Enqueue(
              [this, after_key, alive = std::weak_ptr(is_alive_)] {
                if (!alive.expired()) {
                  ReadPage(after_key);
                }
              });
          return;
        }
        dependencies_.retry_queue.OnStoreResponded();
        for (const StoreEntry& entry : page.entries) {
          if (const auto id = ParseKey(entry.key)) {
            const int probes = DecodeQuarantineRecord(entry.value);
            records_[*id] = {entry.mod_revision, probes};
            on_record_(*id, probes);
          }
        }
        if (page.has_more && !page.entries.empty()) {
          ReadPage(page.entries.back().key);
        }
      });
}

void QuarantineRecords::Write(SuspectId id, int probes) {
  const auto known = records_.find(id);
  const bool is_recorded = known != records_.end() &&
                           known->second.revision != 0 &&
                           known->second.probes >= probes;
  const bool is_pending =
      std::any_of(writes_.begin(), writes_.end(),
                  [id](const auto& write) { return write.second.id == id; });
  if (!is_recorded && !is_pending) {
    Start(id, probes, nullptr);
  }
}

void QuarantineRecords::TakeProbe(SuspectId id,
                                  int probes,
                                  std::function<void(ProbeGrant)> callback) {
  Start(id, probes + 1, std::move(callback));
}

void QuarantineRecords::Start(SuspectId id,
                              int probes,
                              std::function<void(ProbeGrant)> callback) {
  if (records_.size() >= kMaxRecords) {
    // A write without a known revision learns it from its conflict.
    records_.clear();
  }
  const uint64_t write = next_write_++;
  writes_[write] = {.id = id,
                    .probes = probes,
                    .callback = std::move(callback),
                    .started_at = dependencies_.clock.Now()};
  Prepare(write);
}

void QuarantineRecords::Prepare(uint64_t write) {
  const TimePoint now = dependencies_.clock.Now();
  if (lease_ != 0 && now - lease_granted_at_ < kMaxLeaseAge) {
    Send(write);
    return;
  }
  writes_.at(write).call = dependencies_.store.GrantLease(
      kLeaseDuration, [this, write](const StoreLease& lease) {
        if (lease.status != StoreCallStatus::kOk) {
          Fail(write);
          return;
        }
        lease_ = lease.id;
        lease_granted_at_ = dependencies_.clock.Now();
        Send(write);
      });
}

void QuarantineRecords::Send(uint64_t write) {
  PendingWrite& pending = writes_.at(write);
  pending.call = dependencies_.store.CompareAndPut(
      {.key = KeyOf(pending.id),
       .value = EncodeQuarantineRecord(pending.probes),
       .lease = lease_},
      records_[pending.id].revision,
      [this, write](const StoreWrite& result) { OnWritten(write, result); });
}

void QuarantineRecords::OnWritten(uint64_t write, const StoreWrite& result) {
  PendingWrite& pending = writes_.at(write);
  Record& record = records_[pending.id];
  if (result.status == StoreCallStatus::kOk) {
    record = {result.revision, pending.probes};
    Finish(write, {.is_granted = true, .probes = pending.probes});
    return;
  }
  if (result.status != StoreCallStatus::kConflict ||
      ++pending.attempts > kMaxConflicts) {
    Fail(write);
    return;
  }
  if (result.is_lease_expired) {
    lease_ = 0;
    Prepare(write);
    return;
  }
  record = result.current
               ? Record{result.current->mod_revision,
                        DecodeQuarantineRecord(result.current->value)}
               : Record{};
  // Another node may have counted the same probe.
  if (record.revision != 0 && record.probes >= pending.probes) {
    Finish(write, {.is_granted = false, .probes = record.probes});
    return;
  }
  Send(write);
}

void QuarantineRecords::Fail(uint64_t write) {
  const PendingWrite& pending = writes_.at(write);
  const bool is_outdated =
      dependencies_.clock.Now() - pending.started_at > kMaxQuarantine;
  if (pending.callback != nullptr || is_outdated) {
    Finish(write, {.is_granted = false, .probes = pending.probes - 1});
    return;
  }
  dependencies_.events.Write("quarantine_not_recorded",
                             {{"suspect", ToString(pending.id)}});
  dependencies_.retry_queue.Enqueue(
      [this, write, alive = std::weak_ptr(is_alive_)] {
        if (!alive.expired() && writes_.contains(write)) {
          Prepare(write);
        }
      });
}

void QuarantineRecords::Finish(uint64_t write, ProbeGrant grant) {
  const auto found = writes_.find(write);
  const PendingWrite finished = std::move(found->second);
  writes_.erase(found);
  if (finished.callback != nullptr) {
    finished.callback(grant);
  }
}

void QuarantineRecords::Remove(SuspectId id) {
  std::erase_if(writes_, [id](const auto& write) {
    return write.second.id == id && write.second.callback == nullptr;
  });
  records_.erase(id);
  removals_[id] = dependencies_.store.Remove(
      KeyOf(id), [this, id](StoreCallStatus) { removals_.erase(id); });
}

}  // namespace peridotmill
