#include "peridotmill_node/requests/prompt_prefix.h"

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {

uint64_t PromptPrefixKey(std::string_view prompt) {
  uint64_t hash = 0;
  for (size_t i = 0;
       i < kPrefixBlocks && prompt.size() >= (i + 1) * kPrefixBlockBytes; ++i) {
    hash =
        Hash64(prompt.substr(i * kPrefixBlockBytes, kPrefixBlockBytes), hash);
  }
  return PrefixKey(hash);
}

}  // namespace peridotmill
