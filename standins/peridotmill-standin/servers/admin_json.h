#ifndef STANDINS_SERVERS_ADMIN_JSON_H_
#define STANDINS_SERVERS_ADMIN_JSON_H_

#include <map>
#include <optional>
#include <string>

#include "standins/peridotmill-standin/logic/fault_table.h"
#include "standins/peridotmill-standin/logic/run_record.h"

namespace peridotmill::standin {

// Reads a fault table; on failure returns nothing and describes it in `error`.
std::optional<FaultTable> ReadFaults(const std::string& text,
                                     TimePoint now,
                                     std::string& error);

// {"total","distinct","more_than_once":{..},"runs":{..},"dropped"}
std::string RunsJson(const RunRecord& runs);
// {"markers":{marker: executions},"dropped"}
std::string MarkersJson(const RunRecord& runs);
std::string CountsJson(const std::map<std::string, int64_t>& counts);

}  // namespace peridotmill::standin

#endif  // STANDINS_SERVERS_ADMIN_JSON_H_
