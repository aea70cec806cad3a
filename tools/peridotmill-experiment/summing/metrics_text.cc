#include "tools/peridotmill-experiment/summing/metrics_text.h"

#include <cstdlib>
#include <sstream>

namespace peridotmill::experiment {
namespace {

// Reads `name="value",...` from `at` on and moves `at` behind the brace.
Labels ReadLabels(const std::string& line, size_t& at) {
  Labels labels;
  while (at < line.size() && line[at] != '}') {
    const size_t equals = line.find("=\"", at);
    if (equals == std::string::npos) {
      at = line.size();
      return labels;
    }
    const std::string name = line.substr(at, equals - at);
    std::string value;
    for (at = equals + 2; at < line.size() && line[at] != '"'; ++at) {
      if (line[at] == '\\' && at + 1 < line.size()) {
        ++at;
      }
      value += line[at];
    }
    labels[name] = value;
    ++at;
    if (at < line.size() && line[at] == ',') {
      ++at;
    }
  }
  ++at;
  return labels;
}

}  // namespace

void MetricsText::Add(const std::string& page) {
  std::istringstream lines(page);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.empty() || line[0] == '#') {
      continue;
    }
    size_t at = line.find_first_of("{ ");
    if (at == std::string::npos) {
      continue;
    }
    const std::string name = line.substr(0, at);
    Labels labels;
    if (line[at] == '{') {
      ++at;
      labels = ReadLabels(line, at);
    }
    if (at < line.size()) {
      samples_[name][labels] += std::strtod(line.c_str() + at, nullptr);
    }
  }
}

double MetricsText::Sum(const std::string& name) const {
  double sum = 0;
  if (const auto found = samples_.find(name); found != samples_.end()) {
    for (const auto& [labels, value] : found->second) {
      sum += value;
    }
  }
  return sum;
}

std::map<std::string, double> MetricsText::By(const std::string& name,
                                              const std::string& label) const {
  std::map<std::string, double> sums;
  if (const auto found = samples_.find(name); found != samples_.end()) {
    for (const auto& [labels, value] : found->second) {
      if (const auto at = labels.find(label); at != labels.end()) {
        sums[at->second] += value;
      }
    }
  }
  return sums;
}

std::string MetricsText::LabelOf(const std::string& name,
                                 const std::string& label) const {
  if (const auto found = samples_.find(name); found != samples_.end()) {
    for (const auto& [labels, value] : found->second) {
      if (const auto at = labels.find(label); at != labels.end()) {
        return at->second;
      }
    }
  }
  return "";
}

}  // namespace peridotmill::experiment
