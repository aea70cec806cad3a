#ifndef PERIDOTMILL_CORE_HASHING_HASHING_H_
#define PERIDOTMILL_CORE_HASHING_HASHING_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotmill {

// XXH3, 64 bits; for spreading keys, not for security.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

// XXH3, 128 bits, as 32 hexadecimal digits; names content from trusted writers.
std::string ContentDigest(std::string_view data);

// SHA-256 as 64 hexadecimal digits; for tokens.
std::string Sha256Hex(std::string_view data);

// Score of `member` for `key` under rendezvous hashing; the highest score wins.
// @see Thaler and Ravishankar, "Using name-based mappings to increase hit
// rates", 1998.
uint64_t RendezvousScore(std::string_view key, std::string_view member);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_HASHING_HASHING_H_
