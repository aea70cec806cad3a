#ifndef PERIDOTMILL_CORE_ERRORS_FINDING_H_
#define PERIDOTMILL_CORE_ERRORS_FINDING_H_

#include <string>
#include <vector>

namespace peridotmill {

// Where a finding was made. Empty or zero members are unknown.
struct InputLocation {
  std::string file;
  int line = 0;
  // "Kind/name" of the object, or the name of a setting.
  std::string object;
  std::string field;
};

// One fault found in operators' input.
struct Finding {
  InputLocation place;
  std::string message;
};

// Faults are collected and reported together, never one at a time.
using Findings = std::vector<Finding>;

// One line: "file:line: object: field: message", leaving out what is unknown.
std::string ToString(const Finding& finding);

// One line a finding, each ended by a newline.
std::string ToString(const Findings& findings);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_ERRORS_FINDING_H_
