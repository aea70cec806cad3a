#ifndef STANDINS_LOGIC_PROMPT_H_
#define STANDINS_LOGIC_PROMPT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotmill::standin {

// The load tool puts "[m=HEX]" into each input. Stand-ins record the markers
// they ran and echo them, so that the owner of an answer can be checked after
// any composition of stages.
std::vector<std::string> MarkersIn(std::string_view text);

// Value of "[tokens=N]" in the text, which fixes the output length.
std::optional<int32_t> TokensIn(std::string_view text);

// Decides all output tokens of a prompt: from its first marker if it has one,
// otherwise from its whole text.
uint64_t OutputSeed(std::string_view prompt);

// Token `index` of the output; ends with a space. The word carries its own
// index and a hash, so that a lost, repeated or foreign token shows.
std::string OutputToken(uint64_t output_seed, int64_t index);

// Output length of a prompt: log-normal around the median with sigma 0.6, the
// same on each engine with the same settings.
int32_t OutputLength(uint64_t output_seed, int32_t median, int32_t max);

// Tokens of a text, at four bytes each.
int32_t TokenCountOf(std::string_view text);

inline constexpr size_t kPrefixBlockBytes = 64;

// Hashes of the prompt's prefixes: element i covers the first i + 1 complete
// blocks of kPrefixBlockBytes. hash[i] = Hash64(block i, hash[i - 1]) with
// seed 0 for the first.
std::vector<uint64_t> PrefixHashes(std::string_view prompt);

}  // namespace peridotmill::standin

#endif  // STANDINS_LOGIC_PROMPT_H_
