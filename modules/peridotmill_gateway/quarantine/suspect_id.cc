#include "peridotmill_gateway/quarantine/suspect_id.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {

std::vector<SuspectId> HashSharedParts(const GenerationDemand& generation) {
  std::vector<SuspectId> hashes;
  const auto& parts = generation.parts;
  for (size_t i = 0; i + 1 < parts.size() && i < kMaxTrackedParts; ++i) {
    hashes.emplace_back(Hash64(parts[i].id));
  }
  return hashes;
}

std::string ToString(SuspectId part) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016" PRIx64, part.value());
  return text;
}

}  // namespace peridotmill
