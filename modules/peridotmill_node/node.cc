#include "peridotmill_node/node.h"

#include <algorithm>
#include <utility>

#include "peridotmill_node/fleet/engine_orders.h"
#include "peridotmill_node/fleet/fleet.h"
#include "peridotmill_node/fleet/fleet_commands.h"
#include "peridotmill_node/requests/action_requests.h"
#include "peridotmill_node/requests/attempt_runner.h"
#include "peridotmill_node/requests/request_ending.h"
#include "peridotmill_node/requests/request_intake.h"
#include "peridotmill_node/requests/request_review.h"
#include "peridotmill_node/requests/stage_scheduler.h"

namespace peridotmill {
namespace {

// Takes events; one overload for each kind.
class EventHandler {
 public:
  explicit EventHandler(StepContext& context) : context_(context) {}

  void operator()(const CallerRequest& event) { TakeRequest(context_, event); }
  void operator()(const ActionQuery& event) { QueryAction(context_, event); }
  void operator()(const CallerGone& event) { DropRequest(context_, event.id); }
  void operator()(const AttemptFragment& event) {
    // An answer that comes at the deadline is late.
    ExpireRequests(context_);
    TakeFragment(context_, event);
  }
  void operator()(const AttemptFinished& event) {
    ExpireRequests(context_);
    TakeFinished(context_, event);
  }
  void operator()(const HostListRead& event) {
    TakeHostList(context_, event.list);
  }
  void operator()(const LoadRead& event) { TakeLoad(context_, event); }
  void operator()(const CacheEventsRead& event) {
    TakeCacheEvents(context_, event);
  }
  void operator()(const StoreAnswered& event) {
    TakeStoreAnswer(context_, event);
  }
  void operator()(const PeerFrame& event) { TakePeerFrame(context_, event); }
  void operator()(const PeerConnected& event) {
    TakePeerConnected(context_, event.peer);
  }
  void operator()(const PeerDisconnected& event) {
    TakePeerDisconnected(context_, event.peer);
  }
  void operator()(const OrderFinished& event) {
    TakeOrderFinished(context_, event);
  }
  void operator()(const WeightsRead& event) { TakeWeights(context_, event); }
  void operator()(const Tick&) {}
  void operator()(const ShutdownRequested&) {
    if (!context_.state.is_shutting_down) {
      context_.state.is_shutting_down = true;
      AnnounceLeaving(context_);
    }
  }

 private:
  StepContext& context_;
};

// Claims and outcomes are handed on until this long after the last request;
// what the store has not taken by then stays of unknown outcome.
constexpr Duration kDrainTimeout = std::chrono::seconds(5);

void ExitWhenDone(StepContext& context) {
  NodeState& state = context.state;
  if (!state.is_shutting_down || !state.requests.empty() ||
      state.is_exit_sent) {
    return;
  }
  if (!state.drain_until) {
    state.drain_until = context.now + kDrainTimeout;
  }
  const bool is_drained = IsDrained(state.fleet.actions);
  if (!is_drained && *state.drain_until > context.now) {
    return;
  }
  if (!is_drained) {
    context.Emit(LogEvent{"actions_not_drained", {}});
  }
  state.is_exit_sent = true;
  context.Emit(ExitNode{0});
}

}  // namespace

tl::expected<NodeState, Findings> MakeNode(NodeSettings settings) {
  Findings findings;
  if (settings.id.empty()) {
    findings.push_back({{"", 0, "", "id"}, "missing"});
  }
  if (settings.failure_domain.empty()) {
    findings.push_back({{"", 0, "", "failure_domain"}, "missing"});
  }
  if (!findings.empty()) {
    return tl::unexpected(std::move(findings));
  }
  NodeState state;
  state.random = Random(settings.seed);
  state.endpoints = MakeEndpointTable(settings.id, settings.failure_domain);
  state.settings = std::move(settings);
  StartFleet(state);
  return state;
}

std::vector<NodeCommand> Step(NodeState& state,
                              const NodeEvent& event,
                              TimePoint now) {
  std::vector<NodeCommand> commands;
  StepContext context{state, now, commands};
  std::visit(EventHandler(context), event);
  // Before requests expire: a claim that ends now says why.
  if (state.fleet.next_wakeup <= now) {
    TickFleet(context);
  }
  ExpireRequests(context);
  ReviewRequests(context);
  WakeDuePools(context);
  ServeWokenPools(context);
  FlushMessages(context);
  if (context.is_fleet_touched) {
    state.fleet.next_wakeup = NextFleetWakeup(state, now);
  }
  ExitWhenDone(context);
  return commands;
}

TimePoint NextWakeup(const NodeState& state) {
  TimePoint next = state.fleet.next_wakeup;
  if (state.drain_until) {
    next = std::min(next, *state.drain_until);
  }
  if (!state.deadlines.empty()) {
    next = std::min(next, state.deadlines.begin()->first);
  }
  if (!state.reviews.empty()) {
    next = std::min(next, state.reviews.begin()->first);
  }
  next = std::min(next, NextQueueWakeup(state));
  return next;
}

bool IsReady(const NodeState& state) {
  return state.config.objects != nullptr && !state.is_shutting_down &&
         StatusOf(state.fleet.distribution).is_serving;
}

RequestId NextRequestId(NodeState& state) {
  return RequestId(state.settings.id.value() + "-" +
                   std::to_string(state.settings.incarnation.value()) + "-r" +
                   std::to_string(++state.request_count));
}

bool ApplyConfig(NodeState& state,
                 Revision revision,
                 std::shared_ptr<const ObjectSet> objects,
                 TimePoint now) {
  if (revision <= state.config.revision) {
    return false;
  }
  state.config = MakeActiveConfig(revision, std::move(objects));
  ApplyHostList(state.endpoints, state.host_list, state.config.objects->pools,
                now);
  return true;
}

}  // namespace peridotmill
