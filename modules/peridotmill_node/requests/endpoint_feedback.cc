#include "peridotmill_node/requests/endpoint_feedback.h"

#include "peridotmill_node/fleet/engine_orders.h"
#include "peridotmill_node/requests/stage_plan_view.h"
#include "peridotmill_node/requests/stage_scheduler.h"

namespace peridotmill {
namespace {

// The pool as configured now, or null when it is not configured any more.
const Pool* FindPool(const NodeState& state, const PoolId& name) {
  if (!state.config.objects) {
    return nullptr;
  }
  const auto pool = state.config.objects->pools.find(name);
  return pool == state.config.objects->pools.end() ? nullptr : &pool->second;
}

}  // namespace

void LearnFromReport(StepContext& context, const LoadReport& report) {
  NodeState& state = context.state;
  ApplyLoadReport(state.endpoints, report, context.now);
  ReportToOrders(context, report);
  const EndpointView* view = FindEndpoint(state.endpoints, report.endpoint);
  if (view == nullptr) {
    return;
  }
  if (const Pool* pool = FindPool(state, view->pool)) {
    AdaptiveLimit& limit = GetOrCreateLimit(state.limits, view->id, *pool);
    RecordOtherNodesLoad(limit, view->other_nodes_load);
    SetConcurrencyLimit(state.endpoints, report.endpoint,
                        EffectiveLimit(limit));
  }
  WakePool(context, view->pool);
}

void LearnFromAttempt(StepContext& context,
                      const RequestState& request,
                      const AttemptState& attempt,
                      AttemptOutcome outcome) {
  NodeState& state = context.state;
  const Stage& stage = StageOf(request, attempt.stage);
  const EndpointView* view =
      FindEndpoint(state.endpoints, attempt.ticket.endpoint);
  const int32_t in_flight = view == nullptr ? 1 : view->in_flight;
  EndAttempt(state.endpoints, attempt.ticket, outcome,
             ExpectedTime(context, request, stage), context.now);
  const Pool* pool = FindPool(state, stage.pool);
  if (pool == nullptr) {
    return;
  }
  AdaptiveLimit& limit =
      GetOrCreateLimit(state.limits, attempt.ticket.endpoint, *pool);
  if (outcome == AttemptOutcome::kCompleted) {
    // The time to the first token does not depend on the output's length.
    const TimePoint answered = attempt.first_token_at == TimePoint()
                                   ? context.now
                                   : attempt.first_token_at;
    RecordLatency(limit, SizeOf(request), answered - attempt.started_at,
                  in_flight, context.now);
  } else if (outcome == AttemptOutcome::kRefused) {
    RecordOverload(limit, context.now);
  }
  SetConcurrencyLimit(state.endpoints, attempt.ticket.endpoint,
                      EffectiveLimit(limit));
}

}  // namespace peridotmill
