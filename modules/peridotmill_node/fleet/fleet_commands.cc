#include "peridotmill_node/fleet/fleet_commands.h"

#include <chrono>
#include <utility>

#include "peridotmill_node/fleet/fleet.h"
#include "peridotmill_node/node.h"
#include "peridotmill_node/requests/action_requests.h"

namespace peridotmill {
namespace {

// A waiting watch is renewed after this; it counts as one call.
constexpr Duration kWatchTimeout = std::chrono::seconds(30);

void CallStore(StepContext& context,
               StorePurpose purpose,
               StoreRequest request,
               Duration timeout) {
  FleetState& fleet = context.state.fleet;
  const int64_t call = ++fleet.store_call_count;
  fleet.store_calls.emplace(call, std::move(purpose));
  context.Emit(StoreCall{StoreCallId(call), std::move(request), timeout});
}

std::string_view ToString(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
  }
  return "";
}

std::vector<ActionNode> ActionNodesOf(const MembershipState& members) {
  std::vector<ActionNode> nodes = {
      {members.self.node, members.self.incarnation,
       members.self.state == MemberState::kLeaving}};
  for (const auto& [id, entry] : members.entries) {
    if (entry.member.state != MemberState::kDead) {
      nodes.push_back({id, entry.member.incarnation,
                       entry.member.state == MemberState::kLeaving});
    }
  }
  return nodes;
}

// Sends a message to any member, dialling it when there is no connection.
void SendOnDemand(StepContext& context,
                  const NodeId& peer,
                  PeerMessage message) {
  FleetState& fleet = context.state.fleet;
  const auto entry = fleet.members.entries.find(peer);
  if (entry == fleet.members.entries.end()) {
    return;
  }
  if (entry->second.is_connected) {
    SendMessage(context, peer, message);
    return;
  }
  WaitingMessages& waiting = fleet.waiting_messages[peer];
  if (waiting.messages.empty() ||
      context.now - waiting.since > kWaitingMessageExpiry) {
    waiting.messages.clear();
    waiting.since = context.now;
    context.Emit(ConnectPeer{peer, entry->second.member.address});
  }
  if (waiting.messages.size() < kMaxWaitingMessages) {
    waiting.messages.push_back(std::move(message));
  }
}

// Carries out the commands of the parts; one overload for each kind.
class CommandExecutor {
 public:
  explicit CommandExecutor(StepContext& context) : context_(context) {}

  void operator()(DialPeer& command) {
    context_.Emit(ConnectPeer{command.peer, std::move(command.address)});
  }
  void operator()(DropPeer& command) {
    context_.Emit(ClosePeer{command.peer});
    // Closing on purpose is not reported as a lost connection.
    Execute(context_,
            PeerDown(context_.state.fleet.members, command.peer, context_.now));
  }
  void operator()(SendToPeer& command) {
    SendMessage(context_, command.peer, command.message);
  }
  void operator()(MemberChanged& command) {
    context_.Emit(LogEvent{
        "member_changed",
        {{"node", command.member.node.value()},
         {"state", std::string(ToString(command.member.state))},
         {"incarnation", std::to_string(command.member.incarnation.value())}}});
    FleetState& fleet = context_.state.fleet;
    Execute(context_,
            SetActionNodes(fleet.actions, ActionNodesOf(fleet.members),
                           ActionTimeOf(context_)));
  }

  void operator()(CallConfigStore& command) {
    const bool is_watch = command.call.kind == ConfigCall::Kind::kWatchHead;
    CallStore(context_, std::move(command.call), std::move(command.request),
              is_watch ? kWatchTimeout : kStoreCallTimeout);
  }
  // The watch ends by its timeout; a second one costs a waiting call at most.
  void operator()(StopConfigWatch&) {}
  void operator()(SendConfigHead& command) {
    SendMessage(context_, command.peer,
                ConfigHeadMessage{std::move(command.text)});
  }
  void operator()(RequestConfigPart& command) {
    SendMessage(context_, command.peer,
                ConfigPartRequestMessage{std::move(command.digest)});
  }
  void operator()(SendConfigPart& command) {
    SendMessage(context_, command.peer,
                ConfigPartMessage{std::move(command.digest),
                                  std::move(command.content), command.found});
  }
  void operator()(ConfigApplied& command) {
    if (!ApplyConfig(context_.state, command.revision,
                     std::move(command.objects), context_.now)) {
      return;
    }
    context_.Emit(LogEvent{
        "config_applied",
        {{"revision", std::to_string(command.revision.value())},
         {"from", command.from.empty() ? "store" : command.from.value()}}});
    NoteConfigChange(context_);
  }
  void operator()(ConfigRejected& command) {
    context_.Emit(
        LogEvent{"config_rejected",
                 {{"revision", std::to_string(command.revision.value())},
                  {"findings", ToString(command.findings)}}});
  }

  void operator()(ActionStoreCall& command) {
    CallStore(context_, command.operation, std::move(command.request),
              command.timeout);
  }
  void operator()(ActionSend& command) {
    std::visit(
        [&](auto& message) {
          SendOnDemand(context_, command.to, PeerMessage(std::move(message)));
        },
        command.message);
  }
  void operator()(OrderStoreCall& command) {
    CallStore(context_, command.operation, std::move(command.request),
              command.timeout);
  }
  void operator()(ModelOrder& command) {
    context_.Emit(LogEvent{"model_ordered",
                           {{"endpoint", command.endpoint.value()},
                            {"model", command.model},
                            {"version", command.version},
                            {"fence", std::to_string(command.fence.value())}}});
    context_.Emit(SendOrder{command.endpoint, command.address, command.fence,
                            command.model + "@" + command.version,
                            command.not_after});
  }
  void operator()(WeightsRequest& command) {
    context_.Emit(ReadWeights{command.pool, command.model});
  }

  void operator()(ActionResult& command) {
    TakeActionResult(context_, command);
  }

 private:
  StepContext& context_;
};

template <typename Commands>
void ExecuteAll(StepContext& context, Commands& commands) {
  context.is_fleet_touched = true;
  CommandExecutor executor(context);
  for (auto& command : commands) {
    std::visit(executor, command);
  }
}

}  // namespace

void Execute(StepContext& context, MembershipCommands commands) {
  ExecuteAll(context, commands);
}

void Execute(StepContext& context, DistributionCommands commands) {
  ExecuteAll(context, commands);
}

void Execute(StepContext& context, ActionCommands commands) {
  ExecuteAll(context, commands);
}

void Execute(StepContext& context, OrderCommands commands) {
  ExecuteAll(context, commands);
}

void SendMessage(StepContext& context,
                 const NodeId& peer,
                 const PeerMessage& message) {
  context.outbox[peer].push_back(message);
}

void SendMessage(StepContext& context,
                 const std::vector<NodeId>& peers,
                 const PeerMessage& message) {
  for (const NodeId& peer : peers) {
    SendMessage(context, peer, message);
  }
}

void FlushMessages(StepContext& context) {
  for (auto& [peer, messages] : context.outbox) {
    ++context.state.fleet.peer_frames_sent;
    context.Emit(SendPeerFrame{peer, EncodePeerFrame(messages)});
  }
  context.outbox.clear();
}

DistributionPeers DistributionView(const MembershipState& members) {
  return {members.self.failure_domain,
          UsableMembers(members, members.self.failure_domain),
          ConnectedDomainPeers(members), ConnectedRemoteRelays(members)};
}

}  // namespace peridotmill
