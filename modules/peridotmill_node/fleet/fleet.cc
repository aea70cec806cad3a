#include "peridotmill_node/fleet/fleet.h"

#include <algorithm>
#include <set>
#include <utility>

#include "peridotmill_node/fleet/engine_orders.h"
#include "peridotmill_node/fleet/fleet_commands.h"
#include "peridotmill_node/fleet/shared_knowledge.h"
#include "peridotmill_node/requests/action_requests.h"
#include "peridotmill_node/requests/stage_scheduler.h"

namespace peridotmill {
namespace {

// Takes messages of an authenticated peer; one overload for each kind.
class MessageHandler {
 public:
  MessageHandler(StepContext& context, const NodeId& from)
      : context_(context), fleet_(context.state.fleet), from_(from) {}

  void operator()(const HeartbeatMessage& message) {
    Execute(context_,
            ApplyHeartbeat(fleet_.members, from_, message, context_.now));
    Execute(context_, ApplyPeerRevision(fleet_.distribution, from_,
                                        message.revision, context_.now));
    ApplyReportSequence(fleet_.knowledge, from_, message.incarnation,
                        message.report_sequence, context_.now);
  }
  void operator()(const MemberDeltaMessage& message) {
    Execute(context_,
            ApplyMemberDelta(fleet_.members, from_, message, context_.now));
  }
  void operator()(const LeavingMessage& message) {
    Execute(context_,
            ApplyLeaving(fleet_.members, from_, message, context_.now));
  }
  void operator()(const ConfigHeadMessage& message) {
    // The sender may have connected since the last tick.
    fleet_.distribution.view = DistributionView(fleet_.members);
    Execute(context_, ApplyPeerHead(fleet_.distribution, from_, message.text,
                                    context_.now));
  }
  void operator()(const ConfigPartRequestMessage& message) {
    Execute(context_,
            ApplyPartRequest(fleet_.distribution, from_, message.digest));
  }
  void operator()(const ConfigPartMessage& message) {
    Execute(context_, ApplyPart(fleet_.distribution, from_, message.digest,
                                message.content, message.found, context_.now));
  }
  void operator()(const EndpointReportsMessage& message) {
    TakeReports(context_, from_, message);
  }
  void operator()(const CacheHintsMessage& message) {
    TakeCacheHints(context_, message);
  }
  void operator()(const TeamUseMessage& message) {
    TakeTeamUse(context_, from_, message);
  }
  void operator()(const DomainSummaryMessage& message) {
    TakeSummary(context_, from_, message);
  }
  void operator()(const DigestMessage& message) {
    TakeDigestMessage(context_, from_, message);
  }
  void operator()(const DigestReplyMessage& message) {
    TakeDigestReply(context_, from_, message);
  }
  // The messages of at-most-once execution.
  template <typename Message>
  void operator()(const Message& message) {
    Execute(context_, OnActionMessage(fleet_.actions, from_, message,
                                      ActionTimeOf(context_)));
  }

 private:
  StepContext& context_;
  FleetState& fleet_;
  const NodeId& from_;
};

}  // namespace

void StartFleet(NodeState& state) {
  const NodeSettings& settings = state.settings;
  FleetState& fleet = state.fleet;
  fleet.members = MakeMembership(
      {settings.id, settings.peer_address, settings.failure_domain,
       settings.incarnation, state.random.Next()},
      settings.started_at);
  fleet.distribution =
      MakeDistribution(settings.id, state.random.Next(), settings.started_at);
  fleet.knowledge =
      MakeEndpointKnowledge(settings.id, settings.incarnation,
                            state.random.Next(), settings.started_at);
  ActionsSettings actions;
  actions.self = settings.id;
  actions.incarnation = settings.incarnation;
  actions.seed = state.random.Next();
  fleet.orders = MakeOrdersState(settings.id, settings.incarnation);
  const ActionTime now{settings.started_at, settings.wall_started_at};
  fleet.actions = MakeActionsState(actions, now);
  SetActionNodes(fleet.actions, {{settings.id, settings.incarnation, false}},
                 now);
}

void TakeHostList(StepContext& context, const HostList& list) {
  context.is_fleet_touched = true;
  NodeState& state = context.state;
  state.host_list = list;
  Execute(context, ApplyHostList(state.fleet.members, list, context.now));
  if (state.config.objects) {
    ApplyHostList(state.endpoints, list, state.config.objects->pools,
                  context.now);
  }
  TakeListedEndpoints(context, list);
  WakeAllPools(context);
}

void TakePeerFrame(StepContext& context, const PeerFrame& frame) {
  context.is_fleet_touched = true;
  ++context.state.fleet.peer_frames_received;
  const auto messages = DecodePeerFrame(frame.payload);
  if (!messages) {
    context.state.reasons.Add(Reason::kPeerFrameMalformed);
    context.Emit(RejectPeerFrame{frame.peer});
    return;
  }
  MessageHandler handler(context, frame.peer);
  for (const PeerMessage& message : *messages) {
    std::visit(handler, message);
  }
}

void TakePeerConnected(StepContext& context, const NodeId& peer) {
  context.is_fleet_touched = true;
  FleetState& fleet = context.state.fleet;
  Execute(context, PeerUp(fleet.members, peer, context.now));
  Execute(context, ConfigPeerUp(fleet.distribution, peer, context.now));
  auto waiting = fleet.waiting_messages.extract(peer);
  if (!waiting.empty() &&
      context.now - waiting.mapped().since <= kWaitingMessageExpiry) {
    for (const PeerMessage& message : waiting.mapped().messages) {
      SendMessage(context, peer, message);
    }
  }
}

void TakePeerDisconnected(StepContext& context, const NodeId& peer) {
  context.is_fleet_touched = true;
  Execute(context, PeerDown(context.state.fleet.members, peer, context.now));
  context.state.fleet.waiting_messages.erase(peer);
}

void TakeStoreAnswer(StepContext& context, const StoreAnswered& answered) {
  context.is_fleet_touched = true;
  FleetState& fleet = context.state.fleet;
  auto call = fleet.store_calls.extract(answered.call.value());
  if (call.empty()) {
    return;
  }
  if (const auto* config = std::get_if<ConfigCall>(&call.mapped())) {
    Execute(context, ApplyConfigAnswer(fleet.distribution, *config,
                                       answered.answer, context.now));
  } else if (const auto* action =
                 std::get_if<ActionOperation>(&call.mapped())) {
    Execute(context,
            OnActionStoreAnswer(fleet.actions, *action, answered.answer,
                                ActionTimeOf(context)));
  } else if (const auto* order = std::get_if<OrderOperation>(&call.mapped())) {
    TakeOrderAnswer(context, *order, answered.answer);
  }
}

void TickFleet(StepContext& context) {
  context.is_fleet_touched = true;
  FleetState& fleet = context.state.fleet;
  const HeartbeatFields fields{context.state.config.revision,
                               fleet.knowledge.sequence};
  if (NextMembershipWakeup(fleet.members) <= context.now) {
    Execute(context, TickMembership(fleet.members, fields, context.now));
  }
  if (NextDistributionWakeup(fleet.distribution, context.now) <= context.now) {
    Execute(context,
            TickDistribution(fleet.distribution,
                             DistributionView(fleet.members), context.now));
  }
  if (NextActionWakeup(fleet.actions) <= context.now) {
    Execute(context, OnActionTick(fleet.actions, ActionTimeOf(context)));
  }
  TickSharedKnowledge(context);
  TickOrders(context);
}

void AnnounceLeaving(StepContext& context) {
  Execute(context, StartLeaving(context.state.fleet.members, context.now));
}

void NoteConfigChange(StepContext& context) {
  NodeState& state = context.state;
  SetRetention(state.fleet.actions,
               state.config.objects->deployment.action_retention);
  state.fleet.models_by_fingerprint.clear();
  state.fleet.teams_by_fingerprint.clear();
  for (const auto& [name, team] : state.config.objects->teams) {
    state.fleet.teams_by_fingerprint[FingerprintOf(name.value())] = name;
  }
  for (const auto& [name, version] : state.config.objects->model_versions) {
    const std::string model = version.model + "@" + version.version;
    state.fleet.models_by_fingerprint[FingerprintOf(model)] = model;
  }
  WakeAllPools(context);
}

TimePoint NextFleetWakeup(const NodeState& state, TimePoint now) {
  const FleetState& fleet = state.fleet;
  return std::min({NextMembershipWakeup(fleet.members),
                   NextDistributionWakeup(fleet.distribution, now),
                   NextActionWakeup(fleet.actions),
                   NextSharedKnowledgeWakeup(state), fleet.next_orders_tick});
}

}  // namespace peridotmill
