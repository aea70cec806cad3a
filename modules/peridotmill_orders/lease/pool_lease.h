#ifndef PERIDOTMILL_ORDERS_LEASE_POOL_LEASE_H_
#define PERIDOTMILL_ORDERS_LEASE_POOL_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/store/store_call.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/units/units.h"

namespace peridotmill {

// Time to live of a pool's lease in the store.
inline constexpr std::chrono::seconds kOrderLease(15);
// The holder stops this long before its lease can expire.
inline constexpr std::chrono::seconds kOrderMargin(1);

// Value of `orders/<pool>`. It outlives the lease, so that the fence never
// falls back; `orders/<pool>/live` is attached to the lease and goes with it.
struct LeaseRecord {
  NodeId holder;
  Incarnation incarnation;
  FencingNumber fence;
  int64_t lease = 0;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

std::string LeaseRecordKey(const PoolId& pool);
std::string LeaseLiveKey(const PoolId& pool);
std::string EncodeLeaseRecord(const LeaseRecord& record);
// Errors: kMalformed.
Result<LeaseRecord> DecodeLeaseRecord(const std::string& text);

enum class LeaseStep : uint8_t {
  kIdle,
  kReading,
  kGranting,
  kAcquiring,
  // Acquired; the former holder may still be sending.
  kWaiting,
  kHolding,
};

// One pool's lease as one node sees it. All times are of its own steady clock.
struct PoolLease {
  LeaseStep step = LeaseStep::kIdle;
  bool is_call_open = false;
  TimePoint next_call;
  // When the request that the lease runs from was sent.
  TimePoint sent_at;
  TimePoint expires_at;
  // First moment at which orders may be sent.
  TimePoint send_from;
  LeaseRecord record;
  int64_t record_mod_revision = 0;
};

// Whether an order may be sent now. An order must leave before SendUntil().
bool MaySendOrders(const PoolLease& lease, TimePoint now);
TimePoint SendUntil(const PoolLease& lease);

// Gives the lease up at once, without telling the store.
void DropLease(PoolLease& lease, TimePoint now);

// The call that acquires or keeps the lease next, if one is due. Only a
// candidate acquires; a holder that is no longer one lets the lease lapse.
std::optional<StoreRequest> NextLeaseCall(PoolLease& lease,
                                          const PoolId& pool,
                                          bool is_candidate,
                                          TimePoint now);
void OnLeaseAnswer(PoolLease& lease,
                   const PoolId& pool,
                   const NodeId& self,
                   Incarnation incarnation,
                   const StoreAnswer& answer,
                   TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ORDERS_LEASE_POOL_LEASE_H_
