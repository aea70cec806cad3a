#include <gtest/gtest.h>

#include <cmath>
#include <string>

#include "peridotmill_core/compression/deflate.h"
#include "peridotmill_core/compression/delta.h"
#include "peridotmill_core/maths/random.h"

namespace peridotmill {
namespace {

constexpr size_t kMaxBytes = size_t{1} << 20;

size_t Draw(Random& random, size_t limit) {
  return static_cast<size_t>(random.Unit() * static_cast<double>(limit));
}

std::string RandomText(Random& random, size_t size) {
  std::string text;
  while (text.size() < size) {
    // Repeated blocks of the base match at several places.
    text += random.Unit() < 0.5 ? "\"kind\":\"streaming\",\"timeout\":5000,"
                                : std::to_string(random.Unit());
  }
  return text;
}

// Guards against damaged bytes that are accepted and results without a bound.
TEST(DeflateTest, RejectsDamageAndBoundsTheResult) {
  Random random(3);
  const std::string text = RandomText(random, 200'000);
  const std::string compressed = Deflate(text);
  EXPECT_LT(compressed.size(), text.size() / 2);
  EXPECT_EQ(*Inflate(compressed, text.size()), text);
  EXPECT_EQ(Inflate(compressed, text.size() - 1).error(),
            make_error_code(Error::kTooLarge));
  EXPECT_FALSE(Inflate(compressed.substr(0, compressed.size() / 2), kMaxBytes));
  EXPECT_FALSE(Inflate("", kMaxBytes));
  EXPECT_EQ(*Inflate(Deflate(""), 0), "");
}

// Guards against a target that is rebuilt wrongly after edits of any kind.
TEST(DeltaTest, RebuildsTheTargetAfterRandomEdits) {
  Random random(5);
  for (int round = 0; round < 300; ++round) {
    const std::string base = RandomText(random, Draw(random, 4000));
    std::string target = base;
    for (size_t edits = Draw(random, 6); edits > 0; --edits) {
      const size_t at = Draw(random, target.size() + 1);
      const size_t size = Draw(random, 200);
      if (random.Unit() < 0.3) {
        target.erase(at, size);
      } else if (random.Unit() < 0.5) {
        target.insert(at, RandomText(random, size));
      } else {
        // Moves a range.
        const std::string moved = target.substr(at, size);
        target.erase(at, size);
        target.insert(Draw(random, target.size() + 1), moved);
      }
    }
    const std::string delta = EncodeDelta(base, target);
    const auto rebuilt = ApplyDelta(base, delta, kMaxBytes);
    ASSERT_TRUE(rebuilt) << "round " << round;
    ASSERT_EQ(*rebuilt, target) << "round " << round;
  }
}

// Guards against deltas that grow with the document.
TEST(DeltaTest, TheSizeFollowsWhatDiffers) {
  Random random(6);
  const std::string base = RandomText(random, 500'000);
  std::string target = base;
  target.insert(target.size() / 3, "a new part");
  target.erase(target.size() / 2, 100);
  target[5] = '!';
  EXPECT_LT(EncodeDelta(base, target).size(), 500u);
}

// Guards against a result from another base, and against reads beyond the base
// or the delta when a peer sends damaged bytes.
TEST(DeltaTest, RejectsDamageAndOtherBases) {
  Random random(8);
  const std::string base = RandomText(random, 3000);
  const std::string target = base + RandomText(random, 100);
  const std::string delta = EncodeDelta(base, target);
  EXPECT_FALSE(ApplyDelta("", delta, kMaxBytes));
  std::string other = base;
  other[700] ^= 1;
  EXPECT_EQ(ApplyDelta(other, delta, kMaxBytes).error(),
            make_error_code(Error::kDigestMismatch));
  EXPECT_EQ(ApplyDelta(base, delta, target.size() - 1).error(),
            make_error_code(Error::kTooLarge));
  for (size_t i = 0; i < delta.size(); ++i) {
    EXPECT_FALSE(ApplyDelta(base, delta.substr(0, i), kMaxBytes));
    for (int bit = 0; bit < 8; ++bit) {
      std::string damaged = delta;
      damaged[i] = static_cast<char>(damaged[i] ^ (1 << bit));
      const auto rebuilt = ApplyDelta(base, damaged, kMaxBytes);
      EXPECT_TRUE(!rebuilt || *rebuilt == target);
    }
  }
}

}  // namespace
}  // namespace peridotmill
