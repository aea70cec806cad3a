#include "peridotmill_gateway/peers/node_registration.h"

#include <utility>

#include "peridotmill_gateway/peers/node_directory.h"

namespace peridotmill {
namespace {

// A dead node's registration stays for at most this long; links to it are lost
// sooner.
constexpr Duration kLeaseTime = std::chrono::seconds(8);
// Outages of the store last for seconds; with its time limit a renewal in each
// of these intervals shows one within two seconds. A renewal costs a tenth of
// another call.
constexpr Duration kWatcherKeepInterval = std::chrono::milliseconds(1200);
// Nodes that hear of the store from others only keep their lease.
constexpr Duration kKeepInterval = std::chrono::milliseconds(2400);
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
  Grant();
}

void NodeRegistration::After(Duration delay, void (NodeRegistration::*step)()) {
  next_step_ = step;
  timer_ = timers_.After(delay, [this, step] { (this->*step)(); });
}

Duration NodeRegistration::KeepInterval() const {
  return listener_.is_watching() ? kWatcherKeepInterval : kKeepInterval;
}

void NodeRegistration::Grant() {
  call_ = store_.GrantLease(kLeaseTime, [this](const StoreLease& lease) {
    call_.reset();
    if (lease.status != StoreCallStatus::kOk) {
      After(kRetryInterval, &NodeRegistration::Grant);
      return;
    }
    lease_ = lease.id;
    Put();
  });
}

void NodeRegistration::Put() {
  const StorePut put = {.key = kNodePrefix + node_.value(),
                        .value = EncodeNodeRecord(record_),
                        .lease = lease_};
  call_ = store_.Put(put, [this](StoreCallStatus status) {
    call_.reset();
    if (status == StoreCallStatus::kConflict) {
      Grant();
    } else if (status == StoreCallStatus::kOk) {
      log_.Write("node_registered", {{"node", node_.value()}});
      After(KeepInterval(), &NodeRegistration::Keep);
    } else {
      After(kRetryInterval, &NodeRegistration::Put);
    }
  });
}

void NodeRegistration::Keep() {
  call_ = store_.RenewLease(lease_, [this](const StoreLease& lease) {
    call_.reset();
    if (lease.status == StoreCallStatus::kOk ||
        lease.status == StoreCallStatus::kConflict) {
      listener_.on_answer();
    }
    if (lease.status == StoreCallStatus::kConflict) {
      log_.Write("node_registration_lapsed", {{"node", node_.value()}});
      Grant();
      return;
    }
    const bool was_reachable = is_store_reachable_;
    is_store_reachable_ = lease.status == StoreCallStatus::kOk;
    if (was_reachable && !is_store_reachable_) {
      listener_.on_silence();
    }
    After(is_store_reachable_ ? KeepInterval() : kRetryInterval,
          &NodeRegistration::Keep);
  });
}

void NodeRegistration::RenewNow() {
  const bool is_renewal_next = next_step_ == &NodeRegistration::Keep;
  if (is_renewal_next && call_ == nullptr && !is_stopped_) {
    timer_.reset();
    Keep();
  }
}

void NodeRegistration::Stop() {
  if (is_stopped_) {
    return;
  }
  is_stopped_ = true;
  timer_.reset();
  call_.reset();
  if (lease_ != 0) {
    call_ = store_.EndLease(lease_, [this](StoreCallStatus) { call_.reset(); });
  }
}

}  // namespace peridotmill
