#include "peridotmill_core/compression/delta.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {
namespace {

constexpr size_t kBlockBytes = 32;
constexpr int kVarintBits = 7;
constexpr uint64_t kVarintMask = (1U << kVarintBits) - 1;

void AppendVarint(std::string& bytes, uint64_t value) {
  while (value > kVarintMask) {
    bytes += static_cast<char>((value & kVarintMask) | (kVarintMask + 1));
    value >>= kVarintBits;
  }
  bytes += static_cast<char>(value);
}

std::optional<uint64_t> ReadVarint(std::string_view& bytes) {
  constexpr int kValueBits = 64;
  uint64_t value = 0;
  for (int shift = 0; shift < kValueBits && !bytes.empty();
       shift += kVarintBits) {
    const auto byte = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    value |= (byte & kVarintMask) << shift;
    if (byte <= kVarintMask) {
      return value;
    }
  }
  return std::nullopt;
}

constexpr uint64_t Power(uint64_t base, size_t exponent) {
  uint64_t power = 1;
  for (size_t i = 0; i < exponent; ++i) {
    power *= base;
  }
  return power;
}

// Polynomial hash of the last kBlockBytes bytes.
class RollingHash {
 public:
  explicit RollingHash(std::string_view block) {
    for (const char c : block) {
      hash_ = hash_ * kFactor + static_cast<unsigned char>(c);
    }
  }
  void Roll(char removed, char added) {
    hash_ -= kHighestPower * static_cast<unsigned char>(removed);
    hash_ = hash_ * kFactor + static_cast<unsigned char>(added);
  }
  uint64_t value() const { return hash_; }

 private:
  static constexpr uint64_t kFactor = 0x9E3779B97F4A7C15U;
  static constexpr uint64_t kHighestPower = Power(kFactor, kBlockBytes - 1);

  uint64_t hash_ = 0;
};

// The positions of the blocks that occur once in the base. Repeated blocks
// would match at the wrong places.
class BlockIndex {
 public:
  explicit BlockIndex(std::string_view base) {
    positions_.reserve(base.size() / kBlockBytes);
    for (size_t i = 0; i + kBlockBytes <= base.size(); i += kBlockBytes) {
      const auto [found, is_new] = positions_.try_emplace(
          RollingHash(base.substr(i, kBlockBytes)).value(), i);
      if (!is_new) {
        found->second = kRepeated;
      }
    }
  }
  std::optional<size_t> Find(uint64_t hash) const {
    const auto found = positions_.find(hash);
    if (found == positions_.end() || found->second == kRepeated) {
      return std::nullopt;
    }
    return found->second;
  }

 private:
  static constexpr size_t kRepeated = SIZE_MAX;
  std::unordered_map<uint64_t, size_t> positions_;
};

size_t CommonPrefixSize(std::string_view a, std::string_view b) {
  const size_t size = std::min(a.size(), b.size());
  return static_cast<size_t>(
      std::mismatch(a.begin(), a.begin() + static_cast<ptrdiff_t>(size),
                    b.begin())
          .first -
      a.begin());
}

// Instructions alternate: literal bytes, then a copy of a range of the base.
void AppendInstruction(std::string& delta,
                       std::string_view literal,
                       size_t copy_start,
                       size_t copy_size) {
  AppendVarint(delta, literal.size());
  delta += literal;
  AppendVarint(delta, copy_start);
  AppendVarint(delta, copy_size);
}

}  // namespace

std::string EncodeDelta(std::string_view base, std::string_view target) {
  std::string delta;
  AppendVarint(delta, target.size());
  AppendVarint(delta, Hash64(target));
  const BlockIndex index(base);
  // Start of the bytes that no instruction covers yet.
  size_t done = 0;
  size_t position = CommonPrefixSize(base, target);
  if (position > 0) {
    AppendInstruction(delta, {}, 0, position);
    done = position;
  }
  while (position + kBlockBytes <= target.size()) {
    RollingHash hash(target.substr(position, kBlockBytes));
    std::optional<size_t> match;
    while (!(match = index.Find(hash.value())) &&
           position + kBlockBytes < target.size()) {
      hash.Roll(target[position], target[position + kBlockBytes]);
      ++position;
    }
    if (!match) {
      break;
    }
    const size_t size =
        CommonPrefixSize(base.substr(*match), target.substr(position));
    if (size < kBlockBytes) {
      // Two blocks with the same hash.
      ++position;
      continue;
    }
    size_t before = 0;
    while (before < *match && before < position - done &&
           base[*match - before - 1] == target[position - before - 1]) {
      ++before;
    }
    AppendInstruction(delta, target.substr(done, position - before - done),
                      *match - before, before + size);
    position += size;
    done = position;
  }
  if (done < target.size()) {
    AppendInstruction(delta, target.substr(done), 0, 0);
  }
  return delta;
}

Result<std::string> ApplyDelta(std::string_view base,
                               std::string_view delta,
                               size_t max_bytes) {
  const auto malformed = tl::unexpected(make_error_code(Error::kMalformed));
  const auto size = ReadVarint(delta);
  const auto digest = ReadVarint(delta);
  if (!size || !digest) {
    return malformed;
  }
  if (*size > max_bytes) {
    return tl::unexpected(make_error_code(Error::kTooLarge));
  }
  std::string target;
  target.reserve(*size);
  while (!delta.empty()) {
    const auto literal_size = ReadVarint(delta);
    if (!literal_size || *literal_size > delta.size()) {
      return malformed;
    }
    target += delta.substr(0, *literal_size);
    delta.remove_prefix(*literal_size);
    const auto copy_start = ReadVarint(delta);
    const auto copy_size = ReadVarint(delta);
    if (!copy_start || !copy_size || *copy_start > base.size() ||
        *copy_size > base.size() - *copy_start ||
        *copy_size > *size - std::min<uint64_t>(*size, target.size())) {
      return malformed;
    }
    target += base.substr(*copy_start, *copy_size);
  }
  if (target.size() != *size || Hash64(target) != *digest) {
    return tl::unexpected(make_error_code(Error::kDigestMismatch));
  }
  return target;
}

}  // namespace peridotmill
