#include "peridotmill_core/maths/random.h"

#include <cinttypes>
#include <cstdio>

namespace peridotmill {

std::string Random::HexToken() {
  char text[33];
  std::snprintf(text, sizeof(text), "%016" PRIx64 "%016" PRIx64, Next(),
                Next());
  return text;
}

}  // namespace peridotmill
