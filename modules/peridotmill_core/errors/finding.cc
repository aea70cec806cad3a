#include "peridotmill_core/errors/finding.h"

namespace peridotmill {

std::string ToString(const Finding& finding) {
  std::string text;
  if (!finding.place.file.empty()) {
    text += finding.place.file + ":";
    if (finding.place.line > 0) {
      text += std::to_string(finding.place.line) + ":";
    }
    text += " ";
  }
  if (!finding.place.object.empty()) {
    text += finding.place.object + ": ";
  }
  if (!finding.place.field.empty()) {
    text += finding.place.field + ": ";
  }
  return text + finding.message;
}

std::string ToString(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    text += ToString(finding) + "\n";
  }
  return text;
}

}  // namespace peridotmill
