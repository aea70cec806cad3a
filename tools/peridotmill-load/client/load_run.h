#ifndef LOAD_CLIENT_LOAD_RUN_H_
#define LOAD_CLIENT_LOAD_RUN_H_

#include <string>
#include <vector>

#include "tools/peridotmill-load/mix/schedule.h"
#include "tools/peridotmill-load/report/report.h"

namespace peridotmill::load {

// Sends a schedule on the main loop and returns when each request has ended or
// `drain` has passed since the last one was sent. One outcome per request.
std::vector<Outcome> RunSchedule(const Mix& mix,
                                 const std::vector<Entry>& entries,
                                 const std::vector<Planned>& schedule,
                                 Duration drain);

// Reads /stand-in/runs and /stand-in/markers of each URL.
StandInRuns ReadStandIns(const std::vector<std::string>& urls);

}  // namespace peridotmill::load

#endif  // LOAD_CLIENT_LOAD_RUN_H_
