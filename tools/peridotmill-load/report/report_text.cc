#include <cinttypes>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "tools/peridotmill-load/report/report.h"

namespace peridotmill::load {
namespace {

using nlohmann::json;

constexpr double kMedian = 0.5;
constexpr double kP95 = 0.95;

double Attainment(const Tally& tally) {
  return tally.offered == 0 ? 0
                            : static_cast<double>(tally.on_time) /
                                  static_cast<double>(tally.offered);
}

void AppendRow(const std::string& name, const Tally& tally, std::string& text) {
  char row[256];
  std::snprintf(row, sizeof(row),
                "%-24s %8" PRId64 " %8" PRId64 " %7.2f%% %6" PRId64 " %8" PRId64
                " %8" PRId64 " %7" PRId64 " %6" PRId64 " %6" PRId64
                " %9.2f %9.2f %8.2f %9.1f %9.1f\n",
                name.substr(0, 24).c_str(), tally.offered, tally.on_time,
                100 * Attainment(tally), tally.late, tally.refused,
                tally.not_run, tally.broken, tally.misdelivered,
                tally.incomplete, Percentile(tally.first_token_ms, kMedian),
                Percentile(tally.first_token_ms, kP95),
                Percentile(tally.token_gap_ms, kP95),
                Percentile(tally.total_ms, kMedian),
                Percentile(tally.total_ms, kP95));
  text += row;
}

json TallyJson(const Tally& tally) {
  return {{"offered", tally.offered},
          {"on_time", tally.on_time},
          {"attainment", Attainment(tally)},
          {"late", tally.late},
          {"refused", tally.refused},
          {"not_run", tally.not_run},
          {"broken", tally.broken},
          {"not_connected", tally.not_connected},
          {"misdelivered", tally.misdelivered},
          {"incomplete", tally.incomplete},
          {"ttft_ms_p50", Percentile(tally.first_token_ms, kMedian)},
          {"ttft_ms_p95", Percentile(tally.first_token_ms, kP95)},
          {"itl_ms_p95", Percentile(tally.token_gap_ms, kP95)},
          {"total_ms_p50", Percentile(tally.total_ms, kMedian)},
          {"total_ms_p95", Percentile(tally.total_ms, kP95)},
          {"not_run_ms_p95", Percentile(tally.not_run_ms, kP95)},
          {"refusals_by_reason", tally.refusals_by_reason}};
}

}  // namespace

std::string TableText(const Report& report) {
  char head[256];
  std::snprintf(head, sizeof(head),
                "%-24s %8s %8s %8s %6s %8s %8s %7s %6s %6s %9s %9s %8s %9s "
                "%9s\n",
                "class", "offered", "on_time", "attain", "late", "refused",
                "not_run", "broken", "misdel", "incomp", "ttft_p50", "ttft_p95",
                "itl_p95", "total_p50", "total_p95");
  std::string text = head;
  for (const auto& [name, tally] : report.by_class) {
    AppendRow(name, tally, text);
  }
  AppendRow("total", report.total, text);
  return text;
}

std::string LineText(const Report& report) {
  const Tally& total = report.total;
  char line[768];
  std::snprintf(
      line, sizeof(line),
      "LOAD offered=%" PRId64 " on_time=%" PRId64
      " attainment=%.4f late=%" PRId64 " refused=%" PRId64 " not_run=%" PRId64
      " broken=%" PRId64 " not_connected=%" PRId64 " misdelivered=%" PRId64
      " incomplete=%" PRId64 " key_mismatches=%" PRId64 " duplicates=%" PRId64
      " false_not_run=%" PRId64
      " ttft_ms_p50=%.2f ttft_ms_p95=%.2f itl_ms_p95=%.2f total_ms_p95=%.2f "
      "not_run_ms_p95=%.2f schedule_lag_ms_max=%.2f",
      total.offered, total.on_time, Attainment(total), total.late,
      total.refused, total.not_run, total.broken, total.not_connected,
      total.misdelivered, total.incomplete, report.key_mismatches,
      report.duplicates, report.false_not_run,
      Percentile(total.first_token_ms, kMedian),
      Percentile(total.first_token_ms, kP95),
      Percentile(total.token_gap_ms, kP95), Percentile(total.total_ms, kP95),
      Percentile(total.not_run_ms, kP95), report.schedule_lag_ms_max);
  std::string text = line;
  for (const auto& [reason, count] : total.refusals_by_reason) {
    text += " refused_" + reason + "=" + std::to_string(count);
  }
  return text;
}

std::string JsonText(const Report& report) {
  json object = {{"total", TallyJson(report.total)},
                 {"key_mismatches", report.key_mismatches},
                 {"duplicates", report.duplicates},
                 {"false_not_run", report.false_not_run},
                 {"schedule_lag_ms_max", report.schedule_lag_ms_max}};
  for (const auto& [name, tally] : report.by_class) {
    object["classes"][name] = TallyJson(tally);
  }
  return object.dump(2) + "\n";
}

}  // namespace peridotmill::load
