#include "tools/peridotmill-experiment/summing/policy_result.h"

#include <cinttypes>
#include <cmath>
#include <cstdio>

namespace peridotmill::experiment {
namespace {

constexpr char kSpend[] = "peridotmill_spend_micro_units_total";
constexpr char kWasted[] = "peridotmill_wasted_spend_micro_units_total";
constexpr double kMicroUnits = 1e6;

double Ratio(double part, double whole, double without) {
  return whole > 0 ? part / whole : without;
}

}  // namespace

std::string PolicyTable(const RunName& run,
                        const LoadSummary& load,
                        const MetricsText& metrics) {
  std::string text = "policy " + run.policy + "\n";
  char row[160];
  std::snprintf(row, sizeof(row), "  %-28s %14s %14s %10s\n", "stage", "units",
                "wasted units", "attempts");
  text += row;
  auto wasted = metrics.By(kWasted, "stage");
  auto attempts = metrics.By("peridotmill_charged_attempts_total", "stage");
  for (const auto& [stage, spend] : metrics.By(kSpend, "stage")) {
    std::snprintf(row, sizeof(row), "  %-28s %14.6f %14.6f %10.0f\n",
                  stage.substr(0, 28).c_str(), spend / kMicroUnits,
                  wasted[stage] / kMicroUnits, attempts[stage]);
    text += row;
  }
  text += "  refusals seen by callers:";
  for (const auto& [reason, count] : load.refusals_by_reason) {
    text += " " + reason + "=" + std::to_string(count);
  }
  text += "\n  reasons counted by nodes:";
  for (const auto& [reason, count] :
       metrics.By("peridotmill_reasons_total", "reason")) {
    if (count > 0) {
      text += " " + reason + "=" + std::to_string(std::lround(count));
    }
  }
  return text + "\n";
}

std::string PolicyLine(const RunName& run,
                       const LoadSummary& load,
                       const MetricsText& metrics) {
  const double spend = metrics.Sum(kSpend);
  const double first = metrics.Sum("peridotmill_first_attempts_total");
  const double repeated = metrics.Sum("peridotmill_repeated_attempts_total");
  const auto on_time = static_cast<double>(load.on_time);
  const auto offered = static_cast<double>(load.offered);
  char line[768];
  std::snprintf(
      line, sizeof(line),
      "RESULT name=%s profile=%s policy=%s seed=%" PRId64 " offered=%" PRId64
      " on_time=%" PRId64
      " attainment=%.4f cost=%.6f wasted_spend=%.4f "
      "retry_amplification=%.4f duplicates=%" PRId64 " false_not_run=%" PRId64
      " misdelivered=%" PRId64,
      run.name.c_str(), run.profile.c_str(), run.policy.c_str(), run.seed,
      load.offered, load.on_time, Ratio(on_time, offered, 0),
      Ratio(spend / kMicroUnits, on_time, -1),
      Ratio(metrics.Sum(kWasted), spend, 0), Ratio(first + repeated, first, 1),
      load.duplicates, load.false_not_run, load.misdelivered);
  return line;
}

}  // namespace peridotmill::experiment
