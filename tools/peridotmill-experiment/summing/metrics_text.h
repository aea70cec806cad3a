#ifndef EXPERIMENT_SUMMING_METRICS_TEXT_H_
#define EXPERIMENT_SUMMING_METRICS_TEXT_H_

#include <map>
#include <string>

namespace peridotmill::experiment {

using Labels = std::map<std::string, std::string>;

// Sums of samples of nodes' /metrics pages.
class MetricsText {
 public:
  // Adds the samples of one page to those of earlier pages.
  void Add(const std::string& page);

  // Sum over all labels; 0 when there is no such sample.
  double Sum(const std::string& name) const;

  // Sum by the value of one label.
  std::map<std::string, double> By(const std::string& name,
                                   const std::string& label) const;

  // First value of a label; empty when there is none.
  std::string LabelOf(const std::string& name, const std::string& label) const;

 private:
  std::map<std::string, std::map<Labels, double>> samples_;
};

}  // namespace peridotmill::experiment

#endif  // EXPERIMENT_SUMMING_METRICS_TEXT_H_
