#include "standins/peridotmill-standin/servers/admin_json.h"

#include <nlohmann/json.hpp>

namespace peridotmill::standin {
namespace {

using nlohmann::json;

Duration Milliseconds(const json& row, const char* field, double fallback) {
  const double value = row.value(field, fallback);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(value));
}

}  // namespace

std::optional<FaultTable> ReadFaults(const std::string& text,
                                     TimePoint now,
                                     std::string& error) {
  // A fault without an end lasts longer than any run.
  constexpr double kNoEndMs = 1e9;
  FaultTable table;
  table.start = now;
  try {
    for (const json& row : json::parse(text)) {
      const auto name = row.at("fault").get<std::string>();
      const auto kind = FaultKindFrom(name);
      if (!kind) {
        error = "unknown fault `" + name + "`";
        return std::nullopt;
      }
      Fault fault;
      fault.kind = *kind;
      fault.from = Milliseconds(row, "from_ms", 0);
      fault.to = Milliseconds(row, "to_ms", kNoEndMs);
      fault.factor = row.value("factor", 1.0);
      fault.probability = row.value("probability", 1.0);
      fault.callers_domain = row.value("callers_domain", "");
      table.faults.push_back(fault);
    }
  } catch (const json::exception& failure) {
    error = failure.what();
    return std::nullopt;
  }
  return table;
}

std::string RunsJson(const RunRecord& runs) {
  json repeated = json::object();
  for (const auto& [key, count] : runs.by_key) {
    if (count > 1) {
      repeated[key] = count;
    }
  }
  return json{{"total", runs.total},
              {"distinct", runs.by_key.size()},
              {"more_than_once", repeated},
              {"runs", runs.by_key},
              {"dropped", runs.dropped}}
      .dump();
}

std::string MarkersJson(const RunRecord& runs) {
  return json{{"markers", runs.by_marker}, {"dropped", runs.dropped}}.dump();
}

std::string CountsJson(const std::map<std::string, int64_t>& counts) {
  return json{{"counts", counts}}.dump();
}

}  // namespace peridotmill::standin
