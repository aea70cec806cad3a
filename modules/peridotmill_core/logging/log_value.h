#ifndef PERIDOTMILL_CORE_LOGGING_LOG_VALUE_H_
#define PERIDOTMILL_CORE_LOGGING_LOG_VALUE_H_

#include <string>
#include <string_view>

namespace peridotmill {

// Appends the value of a key=value pair. Values with spaces, quotes or control
// characters are quoted and escaped, so that one event stays one line.
void AppendLogValue(std::string_view value, std::string& line);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_LOGGING_LOG_VALUE_H_
