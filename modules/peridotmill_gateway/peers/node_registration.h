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

// Is told whether the store answers this node.
struct StoreContactListener {
  std::function<void()> on_answer;
  // A renewal has got no answer, or a refusal, after one that was answered.
  std::function<void()> on_silence;
  // Whether other nodes learn from this one if the store is silent.
  std::function<bool()> is_watching;
};

// Keeps this node registered in the store under a lease, so that the other
// nodes find it and forget it when it dies.
class NodeRegistration {
 public:
  NodeRegistration(NodeId node,
                   NodeRecord record,
                   StoreChannel& store,
                   TimerQueue& timers,
                   EventSink& log,
                   StoreContactListener listener);

  void Start();
  // Renews the lease now, to learn whether the store answers.
  void RenewNow();
  // Ends the registration; the other nodes give this one no further work.
  void Stop();

 private:
  void Grant();
  void Put();
  void Keep();
  Duration KeepInterval() const;
  void After(Duration delay, void (NodeRegistration::*step)());

  NodeId node_;
  NodeRecord record_;
  StoreChannel& store_;
  TimerQueue& timers_;
  EventSink& log_;
  StoreContactListener listener_;
  int64_t lease_ = 0;
  bool is_store_reachable_ = true;
  bool is_stopped_ = false;
  std::unique_ptr<StoreCallHandle> call_;
  std::unique_ptr<Timer> timer_;
  // What the timer is for.
  void (NodeRegistration::*next_step_)() = nullptr;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PEERS_NODE_REGISTRATION_H_
