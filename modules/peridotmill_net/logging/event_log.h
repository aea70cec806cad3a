#ifndef PERIDOTMILL_NET_LOGGING_EVENT_LOG_H_
#define PERIDOTMILL_NET_LOGGING_EVENT_LOG_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotmill {

using LogFields = std::vector<std::pair<std::string, std::string>>;

// Opens the log on standard error at `level` (debug, info, warn or error).
// Returns false for an unknown level. Call once at start.
bool OpenEventLog(std::string_view level);

// Writes one line of key=value pairs: time, level, event and the fields.
void LogInfo(std::string_view event, const LogFields& fields = {});
void LogWarning(std::string_view event, const LogFields& fields = {});
void LogError(std::string_view event, const LogFields& fields = {});

// "key=value key=value"; values with spaces, quotes or control characters are
// quoted and escaped, so that one event stays one line.
std::string FormatLogLine(std::string_view event, const LogFields& fields);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_LOGGING_EVENT_LOG_H_
