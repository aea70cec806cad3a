#ifndef PERIDOTCTL_EXIT_CODES_H_
#define PERIDOTCTL_EXIT_CODES_H_

#include <ostream>

namespace peridotmill {

// Exit codes of all commands.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
// 2 is kExitFindings.
// Another publisher was first.
inline constexpr int kExitConflict = 3;

// Where a command writes results, and findings and failures.
struct Console {
  std::ostream& out;
  std::ostream& err;
};

}  // namespace peridotmill

#endif  // PERIDOTCTL_EXIT_CODES_H_
