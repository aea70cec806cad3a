#include "peridotmill_gateway/store/registration_reconciler.h"

#include <string>
#include <utility>

namespace peridotmill {

RegistrationReconciler::RegistrationReconciler(EndpointRegistry& registry,
                                               TimerQueue& timers,
                                               EventSink& log,
                                               std::function<void()> reload)
    : registry_(registry),
      timers_(timers),
      log_(log),
      reload_(std::move(reload)) {}

void RegistrationReconciler::Replace(
    std::vector<EndpointRegistration> registrations,
    bool was_unreachable) {
  if (was_unreachable && !registered_.empty() && grace_timer_ == nullptr) {
    grace_timer_ = timers_.After(kReregistrationGrace, [this] {
      grace_timer_.reset();
      reload_();
    });
  }
  std::set<EndpointId> present;
  for (EndpointRegistration& registration : registrations) {
    present.insert(registration.id);
    registry_.Put(std::move(registration));
  }
  size_t kept_missing_count = 0;
  for (const EndpointId& id : registered_) {
    if (present.contains(id)) {
      continue;
    }
    if (grace_timer_ != nullptr) {
      ++kept_missing_count;
    } else {
      registry_.Remove(id);
    }
  }
  log_.Write("endpoints_read",
             {{"present", std::to_string(present.size())},
              {"kept_missing", std::to_string(kept_missing_count)}});
  if (grace_timer_ != nullptr) {
    registered_.insert(present.begin(), present.end());
  } else {
    registered_ = std::move(present);
  }
}

void RegistrationReconciler::Put(EndpointRegistration registration) {
  log_.Write("endpoint_registered",
             {{"endpoint", registration.id.value()},
              {"pool", registration.pool.value()},
              {"address", registration.address},
              {"draining", registration.is_draining ? "1" : "0"}});
  registered_.insert(registration.id);
  registry_.Put(std::move(registration));
}

void RegistrationReconciler::Remove(const EndpointId& id) {
  if (registered_.erase(id) > 0) {
    log_.Write("endpoint_removed", {{"endpoint", id.value()}});
  }
  registry_.Remove(id);
}

}  // namespace peridotmill
