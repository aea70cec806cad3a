#ifndef STANDINS_LOGIC_RUN_RECORD_H_
#define STANDINS_LOGIC_RUN_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridotmill::standin {

// What a stand-in ran: executions by action key and by marker. Both tables are
// bounded; what does not fit is counted in `dropped`.
struct RunRecord {
  int64_t total = 0;
  // "pool path key" to executions.
  std::map<std::string, int64_t> by_key;
  std::map<std::string, int64_t> by_marker;
  int64_t dropped = 0;
};

inline constexpr size_t kMaxRecordedRuns = 500000;

void RecordRun(RunRecord& record,
               const std::string& scope,
               const std::string& action_key,
               const std::vector<std::string>& markers);

void Merge(const RunRecord& from, RunRecord& into);

}  // namespace peridotmill::standin

#endif  // STANDINS_LOGIC_RUN_RECORD_H_
