#ifndef PERIDOTMILL_GATEWAY_STORE_REGISTRATION_RECONCILER_H_
#define PERIDOTMILL_GATEWAY_STORE_REGISTRATION_RECONCILER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"

namespace peridotmill {

// Endpoints whose registrations expired during an outage of the store register
// again within about two seconds after it.
inline constexpr Duration kReregistrationGrace =
    std::chrono::milliseconds(2200);

// Applies the endpoint registrations in the store to the EndpointRegistry.
// Leases may expire during an outage of the store, and endpoints that are alive
// register again soon after it. Registrations that are missing after an outage
// are therefore removed only after a grace period. A store that is restored
// from a copy also brings back earlier registrations; those that the same
// process of the endpoint has replaced or ended are ignored.
class RegistrationReconciler {
 public:
  RegistrationReconciler(EndpointRegistry& registry,
                         TimerQueue& timers,
                         EventSink& log,
                         std::function<void()> reload);

  // Applies a snapshot. `was_unreachable` means that it follows an outage.
  void Replace(std::vector<EndpointRegistration> registrations,
               bool was_unreachable);
  void Put(EndpointRegistration registration);
  void Remove(const EndpointId& id);

 private:
  // The latest registration of an endpoint.
  struct Latest {
    int64_t started_at_ms = 0;
    int64_t sequence = 0;
    bool is_removed = false;
  };

  // Returns whether the endpoint's process has reported later than this.
  bool IsOutdated(const EndpointRegistration& registration) const;
  void RecordLatest(const EndpointRegistration& registration);
  void RecordRemoval(const EndpointId& id);

  EndpointRegistry& registry_;
  TimerQueue& timers_;
  EventSink& log_;
  std::function<void()> reload_;
  // Endpoints that are in the registry because of this object.
  std::set<EndpointId> registered_;
  // Of the endpoints in the registry and of those removed lately.
  std::map<EndpointId, Latest> latest_;
  // Runs during the grace period, while missing registrations are kept.
  std::unique_ptr<Timer> grace_timer_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STORE_REGISTRATION_RECONCILER_H_
