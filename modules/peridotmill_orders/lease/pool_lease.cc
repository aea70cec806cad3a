#include "peridotmill_orders/lease/pool_lease.h"

#include <nlohmann/json.hpp>

namespace peridotmill {
namespace {

constexpr Duration kReadInterval = std::chrono::seconds(5);
constexpr Duration kKeepAliveInterval = kOrderLease / 3;
constexpr Duration kRetryInterval = std::chrono::seconds(1);

bool IsHeld(const PoolLease& lease) {
  return lease.step == LeaseStep::kWaiting || lease.step == LeaseStep::kHolding;
}

StoreRequest ReadRequest(const PoolId& pool) {
  // Both keys in one read. Keys of pools whose names only begin alike may lie
  // between them and are skipped.
  return StoreRange{LeaseRecordKey(pool), LeaseLiveKey(pool) + '\0', 0};
}

StoreRequest AcquireRequest(const PoolLease& lease, const PoolId& pool) {
  StoreTxn txn;
  txn.compares = {
      {LeaseRecordKey(pool), StoreCompare::Target::kModRevision,
       lease.record_mod_revision},
      {LeaseLiveKey(pool), StoreCompare::Target::kCreateRevision, 0}};
  txn.puts = {{LeaseRecordKey(pool), EncodeLeaseRecord(lease.record), 0},
              {LeaseLiveKey(pool), "", lease.record.lease}};
  return txn;
}

// The former holder measures its lease from before its request and stops
// kOrderMargin before the end; its clock may have started at the latest just
// before this node found the lease lapsed.
void BecomeHolder(PoolLease& lease, TimePoint now) {
  lease.step = LeaseStep::kWaiting;
  lease.expires_at = lease.sent_at + kOrderLease;
  lease.send_from = now + kOrderLease + kOrderMargin;
  lease.next_call = now;
}

void Retry(PoolLease& lease, LeaseStep step, TimePoint next_call) {
  lease.step = step;
  lease.next_call = next_call;
}

void OnRead(PoolLease& lease,
            const PoolId& pool,
            const NodeId& self,
            Incarnation incarnation,
            const StoreAnswer& answer,
            TimePoint now) {
  if (answer.status != StoreStatus::kOk) {
    Retry(lease, LeaseStep::kIdle, now + kRetryInterval);
    return;
  }
  LeaseRecord found;
  int64_t mod_revision = 0;
  bool is_live = false;
  for (const StoreEntry& entry : answer.entries) {
    if (entry.key == LeaseLiveKey(pool)) {
      is_live = true;
    } else if (entry.key == LeaseRecordKey(pool)) {
      const auto record = DecodeLeaseRecord(entry.value);
      if (!record) {
        // A fence that cannot be read cannot be raised.
        Retry(lease, LeaseStep::kIdle, now + kReadInterval);
        return;
      }
      found = *record;
      mod_revision = entry.mod_revision;
    }
  }
  if (is_live) {
    // The answer to this node's own write may have been lost.
    if (lease.record.lease != 0 && found == lease.record) {
      BecomeHolder(lease, now);
    } else {
      Retry(lease, LeaseStep::kIdle, now + kReadInterval);
    }
    return;
  }
  lease.record = {self, incarnation, found.fence + FencingNumber(1), 0};
  lease.record_mod_revision = mod_revision;
  Retry(lease, LeaseStep::kGranting, now);
}

void OnGranted(PoolLease& lease, const StoreAnswer& answer, TimePoint now) {
  if (answer.status != StoreStatus::kOk || answer.lease == 0) {
    Retry(lease, LeaseStep::kIdle, now + kRetryInterval);
    return;
  }
  lease.record.lease = answer.lease;
  Retry(lease, LeaseStep::kAcquiring, now);
}

void OnKeptAlive(PoolLease& lease,
                 TimePoint sent_at,
                 const StoreAnswer& answer,
                 TimePoint now) {
  if (answer.status == StoreStatus::kOk && answer.ttl_seconds > 0) {
    lease.expires_at = sent_at + kOrderLease;
    lease.next_call = now + kKeepAliveInterval;
  } else if (answer.status == StoreStatus::kOk) {
    DropLease(lease, now);
  } else {
    lease.next_call = now + kRetryInterval;
  }
}

}  // namespace

std::string LeaseRecordKey(const PoolId& pool) {
  return "orders/" + pool.value();
}

std::string LeaseLiveKey(const PoolId& pool) {
  return LeaseRecordKey(pool) + "/live";
}

std::string EncodeLeaseRecord(const LeaseRecord& record) {
  return nlohmann::json{{"holder", record.holder.value()},
                        {"incarnation", record.incarnation.value()},
                        {"fence", record.fence.value()},
                        {"lease", record.lease}}
      .dump();
}

Result<LeaseRecord> DecodeLeaseRecord(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  try {
    return LeaseRecord{NodeId(json.at("holder").get<std::string>()),
                       Incarnation(json.at("incarnation").get<int64_t>()),
                       FencingNumber(json.at("fence").get<int64_t>()),
                       json.at("lease").get<int64_t>()};
  } catch (const nlohmann::json::exception&) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
}

TimePoint SendUntil(const PoolLease& lease) {
  return lease.expires_at - kOrderMargin;
}

bool MaySendOrders(const PoolLease& lease, TimePoint now) {
  return IsHeld(lease) && now >= lease.send_from && now < SendUntil(lease);
}

void DropLease(PoolLease& lease, TimePoint now) {
  lease = PoolLease();
  lease.next_call = now + kRetryInterval;
}

std::optional<StoreRequest> NextLeaseCall(PoolLease& lease,
                                          const PoolId& pool,
                                          bool is_candidate,
                                          TimePoint now) {
  if (IsHeld(lease) && now >= lease.expires_at && !lease.is_call_open) {
    DropLease(lease, now);
  }
  if (lease.step == LeaseStep::kWaiting && now >= lease.send_from) {
    lease.step = LeaseStep::kHolding;
  }
  if (lease.is_call_open || now < lease.next_call || !is_candidate) {
    return std::nullopt;
  }
  lease.is_call_open = true;
  switch (lease.step) {
    case LeaseStep::kIdle:
    case LeaseStep::kReading:
      lease.step = LeaseStep::kReading;
      return ReadRequest(pool);
    case LeaseStep::kGranting:
      lease.sent_at = now;
      return StoreLeaseGrant{kOrderLease.count()};
    case LeaseStep::kAcquiring:
      return AcquireRequest(lease, pool);
    case LeaseStep::kWaiting:
    case LeaseStep::kHolding:
      lease.sent_at = now;
      return StoreLeaseKeepAlive{lease.record.lease};
  }
  return std::nullopt;
}

void OnLeaseAnswer(PoolLease& lease,
                   const PoolId& pool,
                   const NodeId& self,
                   Incarnation incarnation,
                   const StoreAnswer& answer,
                   TimePoint now) {
  if (!lease.is_call_open) {
    return;
  }
  lease.is_call_open = false;
  switch (lease.step) {
    case LeaseStep::kReading:
      OnRead(lease, pool, self, incarnation, answer, now);
      break;
    case LeaseStep::kGranting:
      OnGranted(lease, answer, now);
      break;
    case LeaseStep::kAcquiring:
      if (answer.status == StoreStatus::kOk) {
        BecomeHolder(lease, now);
      } else {
        // A read shows whether the write took effect.
        Retry(lease, LeaseStep::kIdle, now);
      }
      break;
    case LeaseStep::kWaiting:
    case LeaseStep::kHolding:
      OnKeptAlive(lease, lease.sent_at, answer, now);
      break;
    case LeaseStep::kIdle:
      break;
  }
}

}  // namespace peridotmill
