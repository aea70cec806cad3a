#ifndef PERIDOTMILL_NODE_STATE_DECISION_LOG_H_
#define PERIDOTMILL_NODE_STATE_DECISION_LOG_H_

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "peridotmill_core/peridotmill_core.h"

namespace peridotmill {

// Requests whose decisions are kept for `explain`; older ones are forgotten.
inline constexpr size_t kMaxExplainedRequests = 2000;
inline constexpr size_t kMaxDecisionsPerRequest = 64;

// One decision about a request.
struct Decision {
  TimePoint at;
  std::string text;
};

// Recent decisions by request.
struct DecisionLog {
  std::unordered_map<RequestId, std::vector<Decision>> decisions;
  std::deque<RequestId> order;
};

void RecordDecision(DecisionLog& log,
                    const RequestId& request,
                    TimePoint now,
                    std::string text);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_STATE_DECISION_LOG_H_
