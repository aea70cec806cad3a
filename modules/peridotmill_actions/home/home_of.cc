#include "peridotmill_actions/home/home_of.h"

#include <string>

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {

NodeId HomeOf(int32_t bucket, const std::vector<ActionNode>& nodes) {
  const std::string key = "bucket/" + std::to_string(bucket);
  const ActionNode* best = nullptr;
  uint64_t best_score = 0;
  for (const ActionNode& node : nodes) {
    if (node.is_leaving) {
      continue;
    }
    const uint64_t score = RendezvousScore(key, node.id.value());
    if (best == nullptr || score > best_score ||
        (score == best_score && node.id < best->id)) {
      best = &node;
      best_score = score;
    }
  }
  return best == nullptr ? NodeId() : best->id;
}

}  // namespace peridotmill
