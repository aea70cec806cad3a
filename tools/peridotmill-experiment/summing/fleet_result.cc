#include "tools/peridotmill-experiment/summing/fleet_result.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace peridotmill::experiment {
namespace {

constexpr double kMsPerSecond = 1000;

struct Spread {
  int64_t ms = 0;
  std::string slowest;
  std::vector<std::string> missing;
};

Spread SpreadOf(const FleetRun& run, const Publication& one) {
  Spread spread;
  for (const auto& [node, log] : run.nodes) {
    if (log.empty()) {
      spread.missing.push_back(node);
      continue;
    }
    const auto in_force = InForceMs(log, one);
    if (!in_force) {
      spread.missing.push_back(node);
    }
    const int64_t ms = in_force.value_or(log.back().at_ms - one.at_ms);
    if (spread.slowest.empty() || ms > spread.ms) {
      spread.ms = ms;
      spread.slowest = node;
    }
  }
  return spread;
}

}  // namespace

int64_t CountStoreCalls(const std::string& json) {
  int64_t calls = 0;
  const auto answer = nlohmann::json::parse(json);
  for (const auto& [name, count] : answer.at("counts").at("store").items()) {
    if (name.starts_with("POST /v3/")) {
      calls += count.get<int64_t>();
    }
  }
  return calls;
}

std::string FleetTable(const FleetRun& run) {
  std::string text;
  for (const Publication& one : run.publications) {
    const Spread spread = SpreadOf(run, one);
    text += "  revision " + std::to_string(one.revision) + " in force after " +
            std::to_string(spread.ms) + " ms, last on " + spread.slowest;
    for (const std::string& node : spread.missing) {
      text += ", NEVER on " + node;
    }
    text += "\n";
  }
  return text;
}

std::string FleetLine(const FleetRun& run) {
  std::vector<int64_t> in_force;
  for (const Publication& one : run.publications) {
    in_force.push_back(SpreadOf(run, one).ms);
  }
  std::sort(in_force.begin(), in_force.end());
  int64_t reverts = 0;
  double peer_bytes = 0;
  for (const auto& [node, log] : run.nodes) {
    reverts += CountReverts(log);
    peer_bytes += PeerBytesPerSecond(log);
  }
  const double seconds = static_cast<double>(run.elapsed_ms) / kMsPerSecond;
  char line[512];
  std::snprintf(
      line, sizeof(line),
      "RESULT name=%s seed=%" PRId64 " in_force_ms_median=%" PRId64
      " in_force_ms_max=%" PRId64 " reverts=%" PRId64 " duplicates=%" PRId64
      " false_not_run=%" PRId64 " requests_cut=%" PRId64
      " late_new_work_ms=%" PRId64
      " store_calls_per_s=%.1f peer_bytes_per_s_per_node=%.0f",
      run.name.c_str(), run.seed,
      in_force.empty() ? -1 : in_force[in_force.size() / 2],
      in_force.empty() ? -1 : in_force.back(), reverts, run.load.duplicates,
      run.load.false_not_run, run.load.broken + run.load.incomplete,
      run.endpoint.empty() ? -1 : LateNewWorkMs(run.endpoint),
      seconds > 0 ? static_cast<double>(run.store_calls) / seconds : -1,
      run.nodes.empty() ? -1
                        : peer_bytes / static_cast<double>(run.nodes.size()));
  return line;
}

}  // namespace peridotmill::experiment
