#ifndef PERIDOTMILL_NODE_REQUESTS_PROMPT_PREFIX_H_
#define PERIDOTMILL_NODE_REQUESTS_PROMPT_PREFIX_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace peridotmill {

// Engines cache prompts in blocks of this many bytes and name a block by the
// chain hash[i] = Hash64(block i, hash[i - 1]), which their cache events carry.
inline constexpr size_t kPrefixBlockBytes = 64;
// Blocks that stand for a prompt: long enough to tell instructions apart, short
// enough to be shared by prompts that begin alike.
inline constexpr size_t kPrefixBlocks = 4;

// Low half of a block hash, the part that peers tell each other.
constexpr uint64_t PrefixKey(uint64_t block_hash) {
  return block_hash & 0xffffffff;
}

// Key of the prompt's first blocks; 0 when it has no complete block.
uint64_t PromptPrefixKey(std::string_view prompt);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_REQUESTS_PROMPT_PREFIX_H_
