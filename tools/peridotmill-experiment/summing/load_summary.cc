#include "tools/peridotmill-experiment/summing/load_summary.h"

#include <nlohmann/json.hpp>

namespace peridotmill::experiment {

LoadSummary ReadLoadSummary(const std::string& json) {
  const auto report = nlohmann::json::parse(json);
  const auto& total = report.at("total");
  LoadSummary summary;
  summary.offered = total.at("offered").get<int64_t>();
  summary.on_time = total.at("on_time").get<int64_t>();
  summary.broken = total.at("broken").get<int64_t>();
  summary.not_connected = total.at("not_connected").get<int64_t>();
  summary.incomplete = total.at("incomplete").get<int64_t>();
  summary.misdelivered = total.at("misdelivered").get<int64_t>();
  summary.duplicates = report.at("duplicates").get<int64_t>();
  summary.false_not_run = report.at("false_not_run").get<int64_t>();
  total.at("refusals_by_reason").get_to(summary.refusals_by_reason);
  return summary;
}

}  // namespace peridotmill::experiment
