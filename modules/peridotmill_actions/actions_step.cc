#include "peridotmill_actions/actions_step.h"

#include <algorithm>
#include <utility>

#include "peridotmill_actions/home/home_step.h"
#include "peridotmill_actions/origin/origin_step.h"

namespace peridotmill {
namespace {

// Repeats, polls and deadlines are judged this often while there is work.
constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kIdleTickInterval = std::chrono::seconds(1);

bool IsWorking(const ActionsState& state) {
  return !state.origin.actions.empty() || !state.origin.lookups.empty() ||
         HasFailed(state.home.health) ||
         std::ranges::any_of(state.home.buckets, [](const Bucket& bucket) {
           return IsBusy(bucket) || bucket.open_at;
         });
}

// Runs one step and delivers the messages between the node's two sides, until
// only commands to the outside are left.
class StepRun {
 public:
  StepRun(ActionsState& state, ActionTime now) : state_(state), now_(now) {}

  HomeContext home() { return {state_.home, now_, commands_}; }
  OriginContext origin() {
    return {state_.origin, now_, IsKnownDown(state_.home.health, now_.steady),
            commands_};
  }

  void Deliver(const NodeId& from, const ActionMessage& message) {
    std::visit([&](const auto& content) { DeliverTo(from, content); }, message);
  }

  ActionCommands Finish() {
    ActionCommands outside;
    while (!commands_.empty()) {
      ActionCommands round = std::move(commands_);
      commands_.clear();
      for (ActionCommand& command : round) {
        const auto* send = std::get_if<ActionSend>(&command);
        if (send != nullptr && send->to == state_.home.self) {
          Deliver(state_.home.self, send->message);
        } else {
          outside.push_back(std::move(command));
        }
      }
    }
    if (IsWorking(state_)) {
      state_.next_tick =
          std::min(state_.next_tick, now_.steady + kTickInterval);
    }
    if (HasFailed(state_.home.health) && !state_.home.is_probing) {
      state_.next_tick = std::min(
          state_.next_tick, std::max(now_.steady, state_.home.next_probe));
    }
    return outside;
  }

 private:
  template <typename Message>
  void DeliverTo(const NodeId& from, const Message& message) {
    if constexpr (requires(OriginContext context) {
                    StepOrigin(context, message);
                  }) {
      OriginContext context = origin();
      StepOrigin(context, message);
    } else {
      HomeContext context = home();
      StepHome(context, from, message);
    }
  }

  ActionsState& state_;
  const ActionTime now_;
  ActionCommands commands_;
};

}  // namespace

ActionsState MakeActionsState(const ActionsSettings& settings, ActionTime now) {
  ActionsState state;
  state.next_tick = now.steady;
  state.home.self = settings.self;
  state.home.retention = settings.retention;
  state.home.random = Random(settings.seed);
  // A node that never reached the store knows that it is down after the same
  // time as one that lost it.
  state.home.health.last_success = now.steady;
  state.home.health.last_failure = now.steady - kTickInterval;
  state.origin.self = settings.self;
  state.origin.incarnation = settings.incarnation;
  state.origin.retention = settings.retention;
  return state;
}

ActionCommands Begin(ActionsState& state,
                     const BeginAction& begin,
                     ActionTime now) {
  StepRun run(state, now);
  OriginContext context = run.origin();
  StartAction(context, begin);
  return run.Finish();
}

void SetRetention(ActionsState& state, std::chrono::seconds retention) {
  state.home.retention = retention;
  state.origin.retention = retention;
}

ActionCommands RecordOutcome(ActionsState& state,
                             const Nonce& nonce,
                             ActionAnswer answer,
                             ActionTime now) {
  StepRun run(state, now);
  OriginContext context = run.origin();
  Settle(context, nonce, std::move(answer));
  return run.Finish();
}

ActionCommands VoidClaim(ActionsState& state,
                         const Nonce& nonce,
                         ActionTime now) {
  StepRun run(state, now);
  OriginContext context = run.origin();
  Void(context, nonce);
  return run.Finish();
}

ActionCommands LookUpAction(ActionsState& state,
                            const ActionLookup& lookup,
                            TimePoint deadline,
                            ActionTime now) {
  StepRun run(state, now);
  OriginContext context = run.origin();
  StartLookup(context, lookup, deadline);
  return run.Finish();
}

ActionCommands OnActionMessage(ActionsState& state,
                               const NodeId& from,
                               const ActionMessage& message,
                               ActionTime now) {
  StepRun run(state, now);
  run.Deliver(from, message);
  return run.Finish();
}

ActionCommands OnActionStoreAnswer(ActionsState& state,
                                   ActionOperation operation,
                                   const StoreAnswer& answer,
                                   ActionTime now) {
  StepRun run(state, now);
  HomeContext context = run.home();
  const bool was_down = IsKnownDown(state.home.health, now.steady);
  StepHome(context, operation, answer);
  if (!was_down && IsRefusing(state.home.health)) {
    // Calls in progress are refused now, not at the next tick.
    TickHome(context);
  }
  return run.Finish();
}

ActionCommands SetActionNodes(ActionsState& state,
                              std::vector<ActionNode> nodes,
                              ActionTime now) {
  StepRun run(state, now);
  OriginContext origin = run.origin();
  SetOriginNodes(origin, nodes);
  HomeContext home = run.home();
  SetHomeNodes(home, std::move(nodes));
  return run.Finish();
}

ActionCommands OnActionTick(ActionsState& state, ActionTime now) {
  StepRun run(state, now);
  OriginContext origin = run.origin();
  TickOrigin(origin);
  HomeContext home = run.home();
  TickHome(home);
  state.next_tick = now.steady + kIdleTickInterval;
  return run.Finish();
}

TimePoint NextActionWakeup(const ActionsState& state) {
  return state.next_tick;
}

bool IsDrained(const ActionsState& state) {
  return state.origin.actions.empty() &&
         std::ranges::none_of(state.home.buckets, [](const Bucket& bucket) {
           return !bucket.pending.empty() || bucket.write;
         });
}

}  // namespace peridotmill
