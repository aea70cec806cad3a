#include "peridotmill_routing/selection/baseline_choice.h"

#include <algorithm>

namespace peridotmill {
namespace {

bool IsCandidate(const EndpointView& view,
                 const EndpointChoiceRequest& request) {
  return view.is_listed && !view.is_leaving &&
         std::find(request.excluded.begin(), request.excluded.end(), view.id) ==
             request.excluded.end();
}

EndpointChoice MakeChoice(const EndpointView& view) {
  EndpointChoice choice;
  choice.outcome = EndpointChoiceOutcome::kChosen;
  choice.endpoint = view.id;
  choice.is_in_other_domain = !view.is_own_domain;
  CandidateScore score;
  score.endpoint = view.id;
  choice.candidates.push_back(score);
  return choice;
}

}  // namespace

EndpointChoice ChooseRoundRobin(EndpointTable& table,
                                const EndpointChoiceRequest& request) {
  const auto found = table.pools.find(request.pool);
  if (found == table.pools.end()) {
    return {};
  }
  PoolIndex& index = found->second;
  for (size_t i = 0; i < index.members.size(); ++i) {
    const size_t member = index.round_robin_next++ % index.members.size();
    const EndpointView& view = table.endpoints[index.members[member]];
    if (IsCandidate(view, request)) {
      return MakeChoice(view);
    }
  }
  return {};
}

EndpointChoice ChooseLeastLoad(const EndpointTable& table,
                               const EndpointChoiceRequest& request,
                               Random& random) {
  const auto found = table.pools.find(request.pool);
  if (found == table.pools.end()) {
    return {};
  }
  const EndpointView* best = nullptr;
  uint64_t tie_count = 0;
  for (const uint32_t position : found->second.members) {
    const EndpointView& view = table.endpoints[position];
    if (!IsCandidate(view, request)) {
      continue;
    }
    if (best == nullptr || view.reported_load < best->reported_load) {
      best = &view;
      tie_count = 1;
    } else if (view.reported_load == best->reported_load &&
               random.Below(++tie_count) == 0) {
      best = &view;
    }
  }
  return best == nullptr ? EndpointChoice() : MakeChoice(*best);
}

}  // namespace peridotmill
