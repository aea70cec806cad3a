#ifndef PERIDOTMILL_ACTIONS_HOME_HOME_CONTEXT_H_
#define PERIDOTMILL_ACTIONS_HOME_HOME_CONTEXT_H_

#include <utility>

#include "peridotmill_actions/home/home_state.h"

namespace peridotmill {

// Limit of one store call; the store answers in milliseconds when it is well.
inline constexpr Duration kHomeStoreTimeout = std::chrono::seconds(1);

// What the functions of the home side share during one step.
struct HomeContext {
  HomeState& state;
  ActionTime now;
  ActionCommands& commands;

  Bucket& bucket(int32_t index) { return state.buckets[index]; }
  int64_t retention_seconds() const { return state.retention.count(); }

  void Call(HomeOperation operation, StoreRequest request) {
    state.last_operation += ActionOperation(1);
    state.operations.emplace(state.last_operation, operation);
    commands.emplace_back(ActionStoreCall{
        state.last_operation, std::move(request), kHomeStoreTimeout});
  }
  void Send(const NodeId& to, ActionMessage message) {
    commands.emplace_back(ActionSend{to, std::move(message)});
  }
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_HOME_HOME_CONTEXT_H_
