#ifndef PERIDOTMILL_ACTIONS_ORIGIN_HOME_EXCHANGE_H_
#define PERIDOTMILL_ACTIONS_ORIGIN_HOME_EXCHANGE_H_

#include <utility>

#include "peridotmill_actions/origin/origin_step.h"

namespace peridotmill {

// Chooses the target of the next send: the bucket's home, or this node itself
// once the home has not answered.
void ChooseTarget(OriginContext& context,
                  HomeExchange& exchange,
                  const TeamId& team,
                  const IdempotencyKey& key);

// Sends and schedules the repeat.
void SendToHome(OriginContext& context,
                HomeExchange& exchange,
                ActionMessage message);

// Notes a reply and schedules the next repeat.
void NoteReply(OriginContext& context, HomeExchange& exchange);

// Turns to this node's own home side.
void FallBack(OriginContext& context, HomeExchange& exchange);

bool IsLive(const OriginState& state,
            const NodeId& node,
            Incarnation incarnation);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_ORIGIN_HOME_EXCHANGE_H_
