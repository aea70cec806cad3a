#include "peridotmill_actions/log/log_keys.h"

#include <charconv>
#include <cinttypes>
#include <cstdio>

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {
namespace {

constexpr size_t kUuidLength = 36;
constexpr size_t kSequenceDigits = 16;

bool IsHexDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
         (c >= 'A' && c <= 'F');
}

bool IsUuidVersion7(const std::string& text) {
  if (text.size() != kUuidLength) {
    return false;
  }
  for (size_t i = 0; i < text.size(); ++i) {
    const bool is_dash = i == 8 || i == 13 || i == 18 || i == 23;
    if (is_dash ? text[i] != '-' : !IsHexDigit(text[i])) {
      return false;
    }
  }
  const bool is_rfc_variant =
      std::string_view("89abAB").find(text[19]) != std::string_view::npos;
  return text[14] == '7' && is_rfc_variant;
}

}  // namespace

std::string ScopedKey(const TeamId& team, const IdempotencyKey& key) {
  // The length keeps ("ab", "c") and ("a", "bc") apart.
  return std::to_string(team.value().size()) + ':' + team.value() + key.value();
}

uint64_t KeyFingerprint(const std::string& scoped_key) {
  return Hash64(scoped_key);
}

int32_t BucketOf(const TeamId& team, const IdempotencyKey& key) {
  return static_cast<int32_t>(KeyFingerprint(ScopedKey(team, key)) %
                              kBucketCount);
}

std::string BucketPrefix(int32_t bucket) {
  char text[32];
  std::snprintf(text, sizeof(text), "actions/%02d/", bucket);
  return text;
}

std::string SegmentKey(int32_t bucket, int64_t sequence) {
  char text[64];
  std::snprintf(text, sizeof(text), "actions/%02d/%016" PRId64, bucket,
                sequence);
  return text;
}

std::string TombstonePrefix(int32_t bucket) {
  char text[32];
  std::snprintf(text, sizeof(text), "tombstones/%02d/", bucket);
  return text;
}

std::string TombstoneKey(int32_t bucket, int64_t newest, int64_t floor) {
  char text[96];
  std::snprintf(text, sizeof(text),
                "tombstones/%02d/%016" PRId64 "-%016" PRId64, bucket, newest,
                floor);
  return text;
}

std::optional<int64_t> SequenceOf(const std::string& store_key,
                                  int32_t bucket) {
  const std::string prefix = BucketPrefix(bucket);
  if (store_key.size() != prefix.size() + kSequenceDigits ||
      !store_key.starts_with(prefix)) {
    return std::nullopt;
  }
  int64_t sequence = 0;
  const char* end = store_key.data() + store_key.size();
  const auto [stop, error] =
      std::from_chars(store_key.data() + prefix.size(), end, sequence);
  if (error != std::errc() || stop != end || sequence < 0) {
    return std::nullopt;
  }
  return sequence;
}

std::optional<int64_t> CreationTimeOf(const IdempotencyKey& key) {
  const std::string& text = key.value();
  if (!IsUuidVersion7(text)) {
    return std::nullopt;
  }
  const std::string digits = text.substr(0, 8) + text.substr(9, 4);
  int64_t milliseconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds,
                  16);
  return milliseconds / 1000;
}

}  // namespace peridotmill
