#ifndef PERIDOTMILL_GATEWAY_STORE_REGISTRATION_KEEPER_H_
#define PERIDOTMILL_GATEWAY_STORE_REGISTRATION_KEEPER_H_

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"

namespace peridotmill {

// Endpoints whose registration lapsed while the store was away register again
// within about two seconds of its return.
inline constexpr Duration kReturnGrace = std::chrono::milliseconds(2200);

// Decides which registrations hold. Registrations may lapse while the store is
// away; endpoints that live are back shortly after its return, so that what is
// missing then is believed gone only after a grace time.
class RegistrationKeeper {
 public:
  RegistrationKeeper(EndpointRegistry& registry,
                     TimerQueue& timers,
                     EventSink& log,
                     std::function<void()> read_again);

  void Replace(std::vector<EndpointRegistration> registrations,
               bool was_unreachable);
  void Put(EndpointRegistration registration);
  void Remove(const EndpointId& id);

 private:
  EndpointRegistry& registry_;
  TimerQueue& timers_;
  EventSink& log_;
  std::function<void()> read_again_;
  std::set<EndpointId> known_;
  // Running while missing registrations are still believed.
  std::unique_ptr<Timer> grace_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STORE_REGISTRATION_KEEPER_H_
