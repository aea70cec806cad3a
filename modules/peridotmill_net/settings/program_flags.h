#ifndef PERIDOTMILL_NET_SETTINGS_PROGRAM_FLAGS_H_
#define PERIDOTMILL_NET_SETTINGS_PROGRAM_FLAGS_H_

#include <string>
#include <vector>

#include "peridotmill_core/errors/finding.h"

namespace peridotmill {

// One flag that the program itself defines.
struct ProgramFlag {
  std::string name;
  std::string default_value;
  std::string description;
};

// The program's own flags by name, without those that gflags defines.
std::vector<ProgramFlag> ProgramFlags();

// Name of the environment variable that sets a flag: gflags' --tryfromenv reads
// "FLAGS_" and the flag's name.
std::string EnvironmentVariableOf(const std::string& flag);

// Reads all own flags from the environment and then from the command line,
// which wins. Flags are removed from argv. Unknown flags and values of the
// wrong type become findings; --help and --version end the program.
Findings ReadProgramFlags(int* argc, char*** argv);

// Returns the value of a text flag and clears the flag, so that nothing that
// prints flags shows it. Secrets are better given by environment variable,
// because other users of the host can see command lines.
std::string TakeSecretFlag(const std::string& flag);

// Writes all findings to standard error. Returns 0 if there are none, and
// kExitFindings otherwise.
int ReportFindings(const Findings& findings);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_SETTINGS_PROGRAM_FLAGS_H_
