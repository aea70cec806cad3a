#ifndef PERIDOTMILL_CORE_ERRORS_FINDING_H_
#define PERIDOTMILL_CORE_ERRORS_FINDING_H_

#include <string>
#include <vector>

namespace peridotmill {

// Position of a fault in operators' input. Empty or zero members are unknown.
struct InputLocation {
  std::string file;
  int line = 0;
  // "Kind/name" of the object, or the name of a setting.
  std::string object;
  std::string field;
};

// One fault in operators' input, such as an invalid field in a settings file.
struct Finding {
  InputLocation place;
  std::string message;
};

// All faults of one input. Validation does not stop at the first fault, so that
// operators see all of them at once.
using Findings = std::vector<Finding>;

// Returns "file:line: object: field: message" without a newline. Unknown parts
// are left out.
std::string ToString(const Finding& finding);

// Returns one line per finding, each terminated by a newline.
std::string ToString(const Findings& findings);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_ERRORS_FINDING_H_
