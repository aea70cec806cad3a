#include "peridotmill_node/requests/request_intake.h"

#include <algorithm>
#include <utility>

#include "peridotmill_node/requests/action_requests.h"
#include "peridotmill_node/requests/request_ending.h"
#include "peridotmill_node/requests/stage_scheduler.h"

namespace peridotmill {
namespace {

// Refuses a request that has no state yet.
void RefuseNew(StepContext& context,
               const RequestId& id,
               const RequestFault& fault) {
  context.state.reasons.Add(fault.reason);
  RecordDecision(context.state.decisions, id, context.now,
                 "refused: " + std::string(ToString(fault.reason)));
  context.Emit(CallerRefusal{id, fault.reason, Execution::kNotRun,
                             fault.message, fault.field, false});
}

std::optional<RequestFault> CheckNode(const NodeState& state) {
  if (state.is_shutting_down) {
    return RequestFault{Reason::kShuttingDown, "", ""};
  }
  if (!state.config.objects) {
    return RequestFault{Reason::kNotConfigured, "", ""};
  }
  if (state.requests.size() >= state.settings.max_requests) {
    return RequestFault{Reason::kQueueFull, "the node has too many requests",
                        ""};
  }
  return std::nullopt;
}

tl::expected<const Team*, RequestFault> CheckTeam(const ActiveConfig& config,
                                                  const std::string& token) {
  if (token.empty()) {
    return tl::unexpected(
        RequestFault{Reason::kMissingToken, "", "Authorization"});
  }
  const Team* team = FindTeam(config, token);
  if (team == nullptr) {
    return tl::unexpected(
        RequestFault{Reason::kUnknownTeam, "", "Authorization"});
  }
  return team;
}

std::optional<RequestFault> CheckPipeline(const ActiveConfig& config,
                                          const Team& team,
                                          const PipelineId& name,
                                          const IdempotencyKey& key) {
  const auto pipeline = config.objects->pipelines.find(name);
  if (pipeline == config.objects->pipelines.end()) {
    return RequestFault{Reason::kUnknownPipeline, "", "pipeline"};
  }
  const bool is_allowed =
      team.pipelines.empty() ||
      std::find(team.pipelines.begin(), team.pipelines.end(), name) !=
          team.pipelines.end();
  if (!is_allowed) {
    return RequestFault{Reason::kPipelineNotAllowed, "", "pipeline"};
  }
  if (pipeline->second.key_required && key.empty()) {
    return RequestFault{Reason::kKeyRequired, "", "Idempotency-Key"};
  }
  return std::nullopt;
}

RequestState MakeRequest(const StepContext& context,
                         const CallerRequest& request,
                         ParsedRequest parsed,
                         const Team& team) {
  const ActiveConfig& config = context.state.config;
  const Pipeline& pipeline = config.objects->pipelines.at(parsed.pipeline);
  RequestState made;
  made.id = request.id;
  made.form = request.form;
  made.team = team.name;
  made.key = request.key;
  made.objects = config.objects;
  made.pipeline = pipeline.name;
  made.priority_level = config.objects->priorities.at(pipeline.priority).level;
  made.arrived_at = context.now;
  // A caller may shorten the pipeline's deadline but not lengthen it.
  made.deadline =
      context.now +
      std::min(parsed.deadline.value_or(pipeline.deadline), pipeline.deadline);
  for (const PipelineStage& member : pipeline.stages) {
    made.stages[member.stage];
  }
  made.parsed = std::move(parsed);
  return made;
}

}  // namespace

void TakeRequest(StepContext& context, const CallerRequest& request) {
  NodeState& state = context.state;
  ++state.statistics.requests;
  if (const auto fault = CheckNode(state)) {
    RefuseNew(context, request.id, *fault);
    return;
  }
  const auto team = CheckTeam(state.config, request.token);
  if (!team) {
    RefuseNew(context, request.id, team.error());
    return;
  }
  auto parsed = ParseRequest(request);
  if (!parsed) {
    RefuseNew(context, request.id, parsed.error());
    return;
  }
  if (const auto fault =
          CheckPipeline(state.config, **team, parsed->pipeline, request.key)) {
    RefuseNew(context, request.id, *fault);
    return;
  }
  RequestState made = MakeRequest(context, request, *std::move(parsed), **team);
  const RequestId id = made.id;
  state.deadlines.emplace(made.deadline, id);
  RequestState& open =
      state.requests.emplace(id, std::move(made)).first->second;
  RecordDecision(state.decisions, id, context.now,
                 "accepted: pipeline " + open.pipeline.value() + ", team " +
                     open.team.value());
  const bool is_action =
      !open.key.empty() && HasAction(PipelineOf(open), *open.objects);
  if (is_action) {
    ClaimAction(context, open);
  } else {
    StartReadyStages(context, open);
  }
}

void DropRequest(StepContext& context, const RequestId& request) {
  const auto open = context.state.requests.find(request);
  if (open == context.state.requests.end()) {
    return;
  }
  open->second.is_caller_gone = true;
  if (open->second.has_claim) {
    // The action goes on, so that its outcome is known when the caller asks
    // again under its key.
    return;
  }
  RefuseRequest(context, open->second, Reason::kCallerGone);
}

}  // namespace peridotmill
