#ifndef PERIDOTMILL_CORE_LOGGING_LOG_VALUE_H_
#define PERIDOTMILL_CORE_LOGGING_LOG_VALUE_H_

#include <string>
#include <string_view>

namespace peridotmill {

// Appends the value of a key=value pair to a log line. Quotes and escapes
// values that are empty or contain spaces, '=', quotes, backslashes, control or
// non-ASCII characters, so that each event stays on one line.
void AppendLogValue(std::string_view value, std::string& line);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_LOGGING_LOG_VALUE_H_
