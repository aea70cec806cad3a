#include "peridotmill_node/status/status_page.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace peridotmill {
namespace {

using nlohmann::json;

int64_t MillisecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from)
      .count();
}

json EndpointStatus(const EndpointView& view, TimePoint now) {
  return {{"id", view.id.value()},
          {"pool", view.pool.value()},
          {"failure_domain", view.failure_domain.value()},
          {"address", view.address},
          {"in_flight", view.in_flight},
          {"limit", view.limit},
          {"reported_load", view.reported_load},
          {"leaving", view.is_leaving},
          {"listed", view.is_listed},
          {"ejected", view.ejected_until > now}};
}

json CostByStage(const CostLedger& ledger) {
  std::map<StageId, CostEntry> stages;
  for (const auto& [account, entry] : ledger.entries) {
    CostEntry& stage = stages[account.stage];
    stage.spend += entry.spend;
    stage.wasted += entry.wasted;
    stage.attempts += entry.attempts;
  }
  json answer = json::object();
  for (const auto& [name, entry] : stages) {
    answer[name.value()] = {{"spend_micro_units", entry.spend.value()},
                            {"wasted_micro_units", entry.wasted.value()},
                            {"attempts", entry.attempts}};
  }
  return answer;
}

std::string RevisionSource(const NodeState& state) {
  const DistributionStatus status = StatusOf(state.fleet.distribution);
  return status.from.empty() ? "store" : status.from.value();
}

}  // namespace

std::string RenderStatus(const NodeState& state, TimePoint now) {
  json endpoints = json::array();
  for (const EndpointView& view : state.endpoints.endpoints) {
    endpoints.push_back(EndpointStatus(view, now));
  }
  const char* phase = state.is_shutting_down            ? "leaving"
                      : state.config.objects != nullptr ? "serving"
                                                        : "starting";
  return json{
      {"node", state.settings.id.value()},
      {"failure_domain", state.settings.failure_domain.value()},
      {"incarnation", state.settings.incarnation.value()},
      {"state", phase},
      {"uptime_s", MillisecondsBetween(state.settings.started_at, now) / 1000},
      {"revision", state.config.revision.value()},
      {"revision_from", RevisionSource(state)},
      {"open_requests", state.requests.size()},
      {"endpoints", std::move(endpoints)},
      {"cost_by_stage", CostByStage(state.ledger)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::string> RenderExplanation(const NodeState& state,
                                             const RequestId& request,
                                             TimePoint now) {
  const auto known = state.decisions.decisions.find(request);
  if (known == state.decisions.decisions.end()) {
    return std::nullopt;
  }
  json decisions = json::array();
  for (const Decision& decision : known->second) {
    decisions.push_back({{"ms_ago", MillisecondsBetween(decision.at, now)},
                         {"decision", decision.text}});
  }
  return json{{"request", request.value()},
              {"node", state.settings.id.value()},
              {"decisions", std::move(decisions)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string RenderModels(const NodeState& state, const std::string& token) {
  json models = json::array();
  const Team* team =
      state.config.objects ? FindTeam(state.config, token) : nullptr;
  if (team != nullptr) {
    for (const auto& [name, pipeline] : state.config.objects->pipelines) {
      const bool is_allowed =
          team->pipelines.empty() ||
          std::find(team->pipelines.begin(), team->pipelines.end(), name) !=
              team->pipelines.end();
      if (is_allowed) {
        models.push_back({{"id", name.value()},
                          {"object", "model"},
                          {"created", 0},
                          {"owned_by", "peridotmill"}});
      }
    }
  }
  return json{{"object", "list"}, {"data", std::move(models)}}.dump();
}

}  // namespace peridotmill
