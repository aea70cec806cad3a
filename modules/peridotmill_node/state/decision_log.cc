#include "peridotmill_node/state/decision_log.h"

#include <utility>

namespace peridotmill {

void RecordDecision(DecisionLog& log,
                    const RequestId& request,
                    TimePoint now,
                    std::string text) {
  const auto [entry, is_new] = log.decisions.try_emplace(request);
  if (entry->second.size() < kMaxDecisionsPerRequest) {
    entry->second.push_back({now, std::move(text)});
  }
  if (!is_new) {
    return;
  }
  log.order.push_back(request);
  if (log.order.size() > kMaxExplainedRequests) {
    log.decisions.erase(log.order.front());
    log.order.pop_front();
  }
}

}  // namespace peridotmill
