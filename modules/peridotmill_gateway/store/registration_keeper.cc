#include "peridotmill_gateway/store/registration_keeper.h"

#include <string>
#include <utility>

namespace peridotmill {

RegistrationKeeper::RegistrationKeeper(EndpointRegistry& registry,
                                       TimerQueue& timers,
                                       EventSink& log,
                                       std::function<void()> read_again)
    : registry_(registry),
      timers_(timers),
      log_(log),
      read_again_(std::move(read_again)) {}

void RegistrationKeeper::Replace(
    std::vector<EndpointRegistration> registrations,
    bool was_unreachable) {
  if (was_unreachable && !known_.empty() && grace_ == nullptr) {
    grace_ = timers_.After(kReturnGrace, [this] {
      grace_.reset();
      read_again_();
    });
  }
  std::set<EndpointId> present;
  for (EndpointRegistration& registration : registrations) {
    present.insert(registration.id);
    registry_.Put(std::move(registration));
  }
  size_t kept = 0;
  for (const EndpointId& id : known_) {
    if (present.contains(id)) {
      continue;
    }
    if (grace_ != nullptr) {
      ++kept;
    } else {
      registry_.Remove(id);
    }
  }
  log_.Write("endpoints_read", {{"present", std::to_string(present.size())},
                                {"kept_missing", std::to_string(kept)}});
  if (grace_ != nullptr) {
    known_.insert(present.begin(), present.end());
  } else {
    known_ = std::move(present);
  }
}

void RegistrationKeeper::Put(EndpointRegistration registration) {
  log_.Write("endpoint_registered",
             {{"endpoint", registration.id.value()},
              {"pool", registration.pool.value()},
              {"address", registration.address},
              {"draining", registration.is_draining ? "1" : "0"}});
  known_.insert(registration.id);
  registry_.Put(std::move(registration));
}

void RegistrationKeeper::Remove(const EndpointId& id) {
  if (known_.erase(id) > 0) {
    log_.Write("endpoint_removed", {{"endpoint", id.value()}});
  }
  registry_.Remove(id);
}

}  // namespace peridotmill
