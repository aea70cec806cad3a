#ifndef PERIDOTMILL_NODE_STATUS_STATUS_PAGE_H_
#define PERIDOTMILL_NODE_STATUS_STATUS_PAGE_H_

#include <optional>
#include <string>

#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// JSON for `GET /admin/status`.
std::string RenderStatus(const NodeState& state, TimePoint now);

// JSON for `GET /admin/explain/{request}`; nothing when the request is not
// known or forgotten.
std::optional<std::string> RenderExplanation(const NodeState& state,
                                             const RequestId& request,
                                             TimePoint now);

// JSON for `GET /v1/models`: the pipelines that the token's team may use.
std::string RenderModels(const NodeState& state, const std::string& token);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_STATUS_STATUS_PAGE_H_
