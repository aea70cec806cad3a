#ifndef PERIDOTMILL_CORE_HASHING_HASHING_H_
#define PERIDOTMILL_CORE_HASHING_HASHING_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace peridotmill {

// Returns the 64-bit XXH3 hash of `data`. Distributes keys evenly; not suitable
// for security.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

// Returns the 128-bit XXH3 hash of `data` as 32 hexadecimal digits. Identifies
// content from trusted writers only, since XXH3 is not collision-resistant.
std::string ContentDigest(std::string_view data);

// Returns the SHA-256 digest of `data` as 64 hexadecimal digits. Used for
// bearer tokens.
std::string Sha256Hex(std::string_view data);

// Returns the first 64 bits of a SHA-256 over `fields`, each preceded by its
// length.
uint64_t SecureHash64(std::initializer_list<std::string_view> fields);

// Returns the score of `member` for `key` under rendezvous hashing. The member
// with the highest score owns the key.
// @see Thaler and Ravishankar, "Using name-based mappings to increase hit
// rates", 1998.
uint64_t RendezvousScore(std::string_view key, std::string_view member);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_HASHING_HASHING_H_
