#ifndef PERIDOTMILL_GATEWAY_PEERS_NODE_REGISTRATION_H_
#define PERIDOTMILL_GATEWAY_PEERS_NODE_REGISTRATION_H_

#include <functional>
#include <memory>
#include <string>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/peers/stage_message.h"
#include "peridotmill_gateway/store/store_channel.h"

namespace peridotmill {

// Callbacks about the contact between this node and the store.
struct StoreContactListener {
  std::function<void()> on_store_response;
  // A lease renewal failed or got no response, after one that succeeded.
  std::function<void()> on_store_contact_lost;
  // Returns whether other nodes rely on this node to notice that the store does
  // not respond.
  std::function<bool()> is_watching;
};

// Keeps this node registered in the store under a lease, so that other nodes
// find it and its registration expires when it stops.
class NodeRegistration {
 public:
  NodeRegistration(NodeId node,
                   NodeRecord record,
                   StoreChannel& store,
                   TimerQueue& timers,
                   EventSink& log,
                   StoreContactListener listener);

  void Start();
  // Renews the lease now instead of at the next interval, to find out whether
  // the store responds. Does nothing before the node is registered, while a
  // call is in flight, or after Stop.
  void RenewNow();
  // Ends the lease and with it the registration, so that other nodes send this
  // one no further work.
  void Stop();

 private:
  void RequestLease();
  void PutRecord();
  void SendRenewal();
  Duration RenewalInterval() const;
  void ScheduleStep(Duration delay, void (NodeRegistration::*step)());

  NodeId node_;
  NodeRecord record_;
  StoreChannel& store_;
  TimerQueue& timers_;
  EventSink& log_;
  StoreContactListener listener_;
  int64_t lease_id_ = 0;
  // Era of the store that granted the lease.
  int64_t lease_era_ = 0;
  bool is_store_reachable_ = true;
  bool is_stopped_ = false;
  std::unique_ptr<StoreCallHandle> call_;
  std::unique_ptr<Timer> timer_;
  // The function that the timer calls.
  void (NodeRegistration::*next_step_)() = nullptr;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PEERS_NODE_REGISTRATION_H_
