#include "standins/peridotmill-standin/logic/run_record.h"

namespace peridotmill::standin {
namespace {

void Add(RunRecord& record,
         std::map<std::string, int64_t>& table,
         const std::string& name,
         int64_t runs) {
  if (table.size() >= kMaxRecordedRuns && !table.contains(name)) {
    ++record.dropped;
    return;
  }
  table[name] += runs;
}

}  // namespace

void RecordRun(RunRecord& record,
               const std::string& scope,
               const std::string& action_key,
               const std::vector<std::string>& markers) {
  ++record.total;
  if (!action_key.empty()) {
    Add(record, record.by_key, scope + " " + action_key, 1);
  }
  for (const std::string& marker : markers) {
    Add(record, record.by_marker, marker, 1);
  }
}

void Merge(const RunRecord& from, RunRecord& into) {
  into.total += from.total;
  into.dropped += from.dropped;
  for (const auto& [name, runs] : from.by_key) {
    Add(into, into.by_key, name, runs);
  }
  for (const auto& [name, runs] : from.by_marker) {
    Add(into, into.by_marker, name, runs);
  }
}

}  // namespace peridotmill::standin
