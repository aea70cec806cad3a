#include "peridotmill_core/hashing/hashing.h"

#include <glib.h>
#include <xxhash.h>

#include <array>
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

uint64_t SecureHash64(std::initializer_list<std::string_view> fields) {
  const std::unique_ptr<GChecksum, decltype(&g_checksum_free)> checksum(
      g_checksum_new(G_CHECKSUM_SHA256), &g_checksum_free);
  const auto update = [&checksum](const void* data, size_t size) {
    g_checksum_update(checksum.get(), static_cast<const guchar*>(data),
                      static_cast<gssize>(size));
  };
  for (const std::string_view field : fields) {
    const std::string length = std::to_string(field.size()) + ":";
    update(length.data(), length.size());
    update(field.data(), field.size());
  }
  std::array<guint8, 32> digest{};
  gsize size = digest.size();
  g_checksum_get_digest(checksum.get(), digest.data(), &size);
  uint64_t hash = 0;
  for (size_t i = 0; i < sizeof(hash); ++i) {
    hash = hash << 8 | digest[i];
  }
  return hash;
}

uint64_t RendezvousScore(std::string_view key, std::string_view member) {
  return Hash64(member, Hash64(key));
}

}  // namespace peridotmill
