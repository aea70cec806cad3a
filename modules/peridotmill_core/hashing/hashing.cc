#include "peridotmill_core/hashing/hashing.h"

#include <glib.h>
#include <xxhash.h>

#include <cinttypes>
#include <cstdio>
#include <memory>

namespace peridotmill {

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string ContentDigest(std::string_view data) {
  const XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
  char text[33];
  std::snprintf(text, sizeof(text), "%016" PRIx64 "%016" PRIx64, hash.high64,
                hash.low64);
  return text;
}

std::string Sha256Hex(std::string_view data) {
  const std::unique_ptr<char, decltype(&g_free)> text(
      g_compute_checksum_for_data(G_CHECKSUM_SHA256,
                                  reinterpret_cast<const guchar*>(data.data()),
                                  data.size()),
      &g_free);
  return text.get();
}

uint64_t RendezvousScore(std::string_view key, std::string_view member) {
  return Hash64(member, Hash64(key));
}

}  // namespace peridotmill
