#ifndef PERIDOTMILL_CORE_MATHS_RANDOM_H_
#define PERIDOTMILL_CORE_MATHS_RANDOM_H_

#include <cstdint>
#include <string>

namespace peridotmill {

// Deterministic pseudorandom generator (SplitMix64, Steele et al. 2014). The
// same seed gives the same sequence, so that a run can be reproduced.
class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}

  uint64_t Next() {
    uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }

  // Returns a number that is uniform in [0, bound). `bound` must be positive.
  uint64_t Below(uint64_t bound) { return Next() % bound; }

  // Returns a number that is uniform in [0, 1).
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

  // Returns 128 random bits as 32 hexadecimal digits.
  std::string HexToken();

 private:
  uint64_t state_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_MATHS_RANDOM_H_
