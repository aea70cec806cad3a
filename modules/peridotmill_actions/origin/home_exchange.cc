#include "peridotmill_actions/origin/home_exchange.h"

#include <algorithm>

#include "peridotmill_actions/log/log_keys.h"

namespace peridotmill {
namespace {

// Nodes are at most a few milliseconds apart; a repeat is harmless.
constexpr Duration kFirstRepeat = std::chrono::milliseconds(150);
// With the store known to be down, a refusal is due within 50 ms; the tick that
// notices the time adds up to 20 ms.
constexpr Duration kFirstRepeatStoreDown = std::chrono::milliseconds(20);
constexpr Duration kRepeat = std::chrono::milliseconds(500);
constexpr int32_t kMaxUnanswered = 2;

}  // namespace

void ChooseTarget(OriginContext& context,
                  HomeExchange& exchange,
                  const TeamId& team,
                  const IdempotencyKey& key) {
  const OriginState& state = context.state;
  const int32_t limit = context.is_store_down ? 1 : kMaxUnanswered;
  if (exchange.unanswered >= limit) {
    exchange.is_own = true;
  }
  NodeId target = state.self;
  if (!exchange.is_own) {
    const NodeId home = HomeOf(BucketOf(team, key), state.nodes);
    target = home.empty() ? state.self : home;
  }
  if (target != exchange.target) {
    exchange.target = target;
    exchange.unanswered = 0;
  }
}

void SendToHome(OriginContext& context,
                HomeExchange& exchange,
                ActionMessage message) {
  ++exchange.sends;
  ++exchange.unanswered;
  Duration repeat = kFirstRepeat;
  if (exchange.target == context.state.self) {
    repeat = kRepeat;
  } else if (context.is_store_down) {
    repeat = kFirstRepeatStoreDown;
  }
  exchange.next_send = context.now.steady + repeat;
  context.commands.emplace_back(
      ActionSend{exchange.target, std::move(message)});
}

void NoteReply(OriginContext& context, HomeExchange& exchange) {
  exchange.unanswered = 0;
  exchange.next_send = context.now.steady + kRepeat;
}

void FallBack(OriginContext& context, HomeExchange& exchange) {
  exchange.is_own = true;
  exchange.next_send = context.now.steady;
}

bool IsLive(const OriginState& state,
            const NodeId& node,
            Incarnation incarnation) {
  return std::ranges::any_of(state.nodes, [&](const ActionNode& live) {
    return live.id == node && live.incarnation == incarnation;
  });
}

}  // namespace peridotmill
