#include "standins/peridotmill-standin/logic/prompt.h"

#include <algorithm>
#include <charconv>
#include <cinttypes>
#include <cmath>
#include <cstdio>
#include <numbers>

#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_core/maths/random.h"

namespace peridotmill::standin {
namespace {

// Text between `open` and the next "]" at or after `from`.
std::optional<std::string_view> Tagged(std::string_view text,
                                       std::string_view open,
                                       size_t& from) {
  const size_t begin = text.find(open, from);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  const size_t value = begin + open.size();
  const size_t end = text.find(']', value);
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  from = end;
  return text.substr(value, end - value);
}

}  // namespace

std::vector<std::string> MarkersIn(std::string_view text) {
  constexpr size_t kMaxMarkerLength = 64;
  std::vector<std::string> markers;
  size_t from = 0;
  while (const auto marker = Tagged(text, "[m=", from)) {
    if (marker->size() <= kMaxMarkerLength &&
        std::find(markers.begin(), markers.end(), *marker) == markers.end()) {
      markers.emplace_back(*marker);
    }
  }
  return markers;
}

std::optional<int32_t> TokensIn(std::string_view text) {
  size_t from = 0;
  const auto tag = Tagged(text, "[tokens=", from);
  int32_t value = 0;
  if (!tag ||
      std::from_chars(tag->data(), tag->data() + tag->size(), value).ec !=
          std::errc() ||
      value < 1) {
    return std::nullopt;
  }
  return value;
}

uint64_t OutputSeed(std::string_view prompt) {
  const std::vector<std::string> markers = MarkersIn(prompt);
  return markers.empty() ? Hash64(prompt, 1) : Hash64(markers.front(), 2);
}

std::string OutputToken(uint64_t output_seed, int64_t index) {
  const uint64_t hash = Hash64(std::to_string(index), output_seed);
  char text[48];
  std::snprintf(text, sizeof(text), "%" PRId64 ".%06" PRIx64 " ", index,
                hash & 0xffffff);
  return text;
}

int32_t OutputLength(uint64_t output_seed, int32_t median, int32_t max) {
  constexpr double kSigma = 0.6;
  Random random(output_seed);
  const double radius = std::sqrt(-2 * std::log(1 - random.Unit()));
  const double normal = radius * std::cos(2 * std::numbers::pi * random.Unit());
  const double length = median * std::exp(kSigma * normal);
  return static_cast<int32_t>(
      std::clamp(length, 1.0, static_cast<double>(std::max(max, 1))));
}

int32_t TokenCountOf(std::string_view text) {
  constexpr size_t kBytesPerToken = 4;
  return static_cast<int32_t>((text.size() + kBytesPerToken - 1) /
                              kBytesPerToken);
}

std::vector<uint64_t> PrefixHashes(std::string_view prompt) {
  std::vector<uint64_t> hashes;
  uint64_t hash = 0;
  while (prompt.size() >= kPrefixBlockBytes) {
    hash = Hash64(prompt.substr(0, kPrefixBlockBytes), hash);
    hashes.push_back(hash);
    prompt.remove_prefix(kPrefixBlockBytes);
  }
  return hashes;
}

}  // namespace peridotmill::standin
