#ifndef LOAD_REPORT_REPORT_H_
#define LOAD_REPORT_REPORT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tools/peridotmill-load/mix/schedule.h"
#include "tools/peridotmill-load/report/outcome.h"

namespace peridotmill::load {

// Counts of one request class or of the whole run.
struct Tally {
  int64_t offered = 0;
  // Complete, correct and within the deadline.
  int64_t on_time = 0;
  int64_t late = 0;
  int64_t refused = 0;
  int64_t not_run = 0;
  int64_t broken = 0;
  int64_t not_connected = 0;
  int64_t misdelivered = 0;
  int64_t incomplete = 0;
  std::vector<double> first_token_ms;
  std::vector<double> token_gap_ms;
  std::vector<double> total_ms;
  std::vector<double> not_run_ms;
  std::map<std::string, int64_t> refusals_by_reason;
};

// What the stand-ins ran, read after the run.
struct StandInRuns {
  std::map<std::string, int64_t> by_key;
  std::map<std::string, int64_t> by_marker;
  // Stand-ins that could not be read; their runs are missing.
  std::vector<std::string> unreadable;
};

struct Report {
  Tally total;
  std::map<std::string, Tally> by_class;
  // Keys whose calls were answered from different executions.
  int64_t key_mismatches = 0;
  // -1 when no stand-in was read.
  int64_t duplicates = -1;
  int64_t false_not_run = -1;
  double schedule_lag_ms_max = 0;
};

// The two lists have one element for each request.
Report MakeReport(const Mix& mix,
                  const std::vector<Planned>& schedule,
                  const std::vector<Outcome>& outcomes);

// Fills in duplicates and false_not_run. A marker counts as false only if all
// requests that carried it were refused as not run.
void AddRuns(const std::vector<Planned>& schedule,
             const std::vector<Outcome>& outcomes,
             const StandInRuns& runs,
             Report& report);

// Adds the /stand-in/runs and /stand-in/markers answers of one stand-in.
// False when malformed.
bool AddRunsJson(const std::string& runs_json,
                 const std::string& markers_json,
                 StandInRuns& runs);

// Value below which the share `q` of the samples lies; 0 without samples.
double Percentile(std::vector<double> samples, double q);

std::string TableText(const Report& report);
// One line that begins with LOAD.
std::string LineText(const Report& report);
std::string JsonText(const Report& report);

}  // namespace peridotmill::load

#endif  // LOAD_REPORT_REPORT_H_
