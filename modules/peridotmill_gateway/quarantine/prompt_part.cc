#include "peridotmill_gateway/quarantine/prompt_part.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {

std::vector<PromptPartHash> HashSharedParts(
    const GenerationDemand& generation) {
  std::vector<PromptPartHash> hashes;
  const auto& parts = generation.parts;
  for (size_t i = 0; i + 1 < parts.size() && i < kMaxTrackedParts; ++i) {
    hashes.emplace_back(Hash64(parts[i].id));
  }
  return hashes;
}

std::string ToString(PromptPartHash part) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016" PRIx64, part.value());
  return text;
}

}  // namespace peridotmill
