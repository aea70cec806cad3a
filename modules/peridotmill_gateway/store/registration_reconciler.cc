#include "peridotmill_gateway/store/registration_reconciler.h"

#include <string>
#include <utility>

namespace peridotmill {
namespace {

// Removed endpoints that are remembered.
constexpr size_t kMaxRemovedEndpoints = 4096;

}  // namespace

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
  size_t outdated_count = 0;
  for (EndpointRegistration& registration : registrations) {
    if (IsOutdated(registration)) {
      ++outdated_count;
      if (registered_.contains(registration.id)) {
        present.insert(registration.id);
      }
      continue;
    }
    present.insert(registration.id);
    RecordLatest(registration);
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
      RecordRemoval(id);
      registry_.Remove(id);
    }
  }
  log_.Write("endpoints_read",
             {{"present", std::to_string(present.size())},
              {"kept_missing", std::to_string(kept_missing_count)},
              {"outdated", std::to_string(outdated_count)}});
  if (grace_timer_ != nullptr) {
    registered_.insert(present.begin(), present.end());
  } else {
    registered_ = std::move(present);
  }
}

bool RegistrationReconciler::IsOutdated(
    const EndpointRegistration& registration) const {
  const auto found = latest_.find(registration.id);
  if (found == latest_.end() || registration.started_at_ms == 0 ||
      registration.sequence == 0 ||
      registration.started_at_ms != found->second.started_at_ms) {
    return false;
  }
  return found->second.is_removed
             ? registration.sequence <= found->second.sequence
             : registration.sequence < found->second.sequence;
}

void RegistrationReconciler::RecordLatest(
    const EndpointRegistration& registration) {
  latest_[registration.id] = {.started_at_ms = registration.started_at_ms,
                              .sequence = registration.sequence};
}

void RegistrationReconciler::RecordRemoval(const EndpointId& id) {
  if (const auto found = latest_.find(id); found != latest_.end()) {
    found->second.is_removed = true;
  }
  if (latest_.size() > registered_.size() + kMaxRemovedEndpoints) {
    std::erase_if(latest_,
                  [](const auto& entry) { return entry.second.is_removed; });
  }
}

void RegistrationReconciler::Put(EndpointRegistration registration) {
  if (IsOutdated(registration)) {
    return;
  }
  RecordLatest(registration);
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
    RecordRemoval(id);
  }
  registry_.Remove(id);
}

}  // namespace peridotmill
