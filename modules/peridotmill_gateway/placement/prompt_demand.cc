#include "peridotmill_gateway/placement/prompt_demand.h"

#include <algorithm>

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {

std::vector<SharedPrefix> ComputeSharedPrefixes(
    const GenerationDemand& generation) {
  std::vector<SharedPrefix> prefixes;
  const auto& parts = generation.parts;
  if (parts.empty()) {
    return prefixes;
  }
  const size_t shared_count = std::max<size_t>(1, parts.size() - 1);
  uint64_t hash = Hash64(generation.model);
  for (size_t i = 0; i < shared_count; ++i) {
    hash = Hash64(parts[i].id, hash);
    prefixes.push_back({hash, parts[i].tokens});
  }
  return prefixes;
}

uint64_t PrefixAffinity(const std::vector<SharedPrefix>& prefixes) {
  return prefixes.back().hash | 1;
}

}  // namespace peridotmill
