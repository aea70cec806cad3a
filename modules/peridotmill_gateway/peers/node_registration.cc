#include "peridotmill_gateway/peers/node_registration.h"

#include <utility>

#include "peridotmill_gateway/peers/node_directory.h"

namespace peridotmill {
namespace {

// The registration of a node that has crashed expires after at most this time;
// links to the node are lost sooner.
constexpr Duration kLeaseDuration = std::chrono::seconds(8);
// Outages of the store last for seconds. One renewal per interval, with the
// timeout of the call, detects an outage within two seconds. A renewal costs a
// tenth of what another call to the store costs.
constexpr Duration kWatcherRenewalInterval = std::chrono::milliseconds(1200);
// Nodes that learn of an outage from other nodes renew only to keep the lease.
constexpr Duration kRenewalInterval = std::chrono::milliseconds(2400);
constexpr Duration kRetryInterval = std::chrono::milliseconds(700);

}  // namespace

NodeRegistration::NodeRegistration(NodeId node,
                                   NodeRecord record,
                                   StoreChannel& store,
                                   TimerQueue& timers,
                                   EventSink& log,
                                   StoreContactListener listener)
    : node_(std::move(node)),
      record_(std::move(record)),
      store_(store),
      timers_(timers),
      log_(log),
      listener_(std::move(listener)) {}

void NodeRegistration::Start() {
  RequestLease();
}

void NodeRegistration::ScheduleStep(Duration delay,
                                    void (NodeRegistration::*step)()) {
  next_step_ = step;
  timer_ = timers_.After(delay, [this, step] { (this->*step)(); });
}

Duration NodeRegistration::RenewalInterval() const {
  return listener_.is_watching() ? kWatcherRenewalInterval : kRenewalInterval;
}

void NodeRegistration::RequestLease() {
  call_ = store_.GrantLease(kLeaseDuration, [this](const StoreLease& lease) {
    call_.reset();
    if (lease.status != StoreCallStatus::kOk) {
      ScheduleStep(kRetryInterval, &NodeRegistration::RequestLease);
      return;
    }
    lease_id_ = lease.id;
    lease_era_ = lease.store_era;
    PutRecord();
  });
}

void NodeRegistration::PutRecord() {
  const StorePut put = {.key = kNodeKeyPrefix + node_.value(),
                        .value = EncodeNodeRecord(record_),
                        .lease = lease_id_};
  call_ = store_.Put(put, [this](StoreCallStatus status) {
    call_.reset();
    if (status == StoreCallStatus::kConflict) {
      RequestLease();
    } else if (status == StoreCallStatus::kOk) {
      log_.Write("node_registered", {{"node", node_.value()}});
      ScheduleStep(RenewalInterval(), &NodeRegistration::SendRenewal);
    } else {
      ScheduleStep(kRetryInterval, &NodeRegistration::PutRecord);
    }
  });
}

void NodeRegistration::SendRenewal() {
  call_ = store_.RenewLease(lease_id_, [this](const StoreLease& lease) {
    call_.reset();
    if (lease.status == StoreCallStatus::kOk ||
        lease.status == StoreCallStatus::kConflict) {
      listener_.on_store_response();
    }
    // After the store was restored from a copy, the record may be missing, and
    // the lease that was renewed may be that of another node.
    const bool is_restored =
        lease.status == StoreCallStatus::kOk && lease.store_era != lease_era_;
    if (lease.status == StoreCallStatus::kConflict || is_restored) {
      log_.Write("node_registration_lapsed", {{"node", node_.value()}});
      RequestLease();
      return;
    }
    const bool was_reachable = is_store_reachable_;
    is_store_reachable_ = lease.status == StoreCallStatus::kOk;
    if (was_reachable && !is_store_reachable_) {
      listener_.on_store_contact_lost();
    }
    ScheduleStep(is_store_reachable_ ? RenewalInterval() : kRetryInterval,
                 &NodeRegistration::SendRenewal);
  });
}

void NodeRegistration::RenewNow() {
  const bool is_renewal_next = next_step_ == &NodeRegistration::SendRenewal;
  if (is_renewal_next && call_ == nullptr && !is_stopped_) {
    timer_.reset();
    SendRenewal();
  }
}

void NodeRegistration::Stop() {
  if (is_stopped_) {
    return;
  }
  is_stopped_ = true;
  timer_.reset();
  call_.reset();
  if (lease_id_ != 0) {
    call_ =
        store_.EndLease(lease_id_, [this](StoreCallStatus) { call_.reset(); });
  }
}

}  // namespace peridotmill
