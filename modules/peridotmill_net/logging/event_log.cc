#include "peridotmill_net/logging/event_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

#include "peridotmill_core/logging/log_value.h"

namespace peridotmill {
namespace {

log4cplus::Logger RootLogger() {
  return log4cplus::Logger::getRoot();
}

}  // namespace

bool OpenEventLog(std::string_view level) {
  static const log4cplus::Initializer initializer;
  const log4cplus::LogLevel value =
      level == "debug"   ? log4cplus::DEBUG_LOG_LEVEL
      : level == "info"  ? log4cplus::INFO_LOG_LEVEL
      : level == "warn"  ? log4cplus::WARN_LOG_LEVEL
      : level == "error" ? log4cplus::ERROR_LOG_LEVEL
                         : log4cplus::NOT_SET_LOG_LEVEL;
  if (value == log4cplus::NOT_SET_LOG_LEVEL) {
    return false;
  }
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                     /*immediateFlush=*/true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n"));
  RootLogger().removeAllAppenders();
  RootLogger().addAppender(appender);
  RootLogger().setLogLevel(value);
  return true;
}

std::string FormatLogLine(std::string_view event, const LogFields& fields) {
  std::string line = "event=";
  AppendLogValue(event, line);
  for (const auto& [key, value] : fields) {
    line += ' ';
    line += key;
    line += '=';
    AppendLogValue(value, line);
  }
  return line;
}

void LogInfo(std::string_view event, const LogFields& fields) {
  LOG4CPLUS_INFO(RootLogger(), FormatLogLine(event, fields));
}

void LogWarning(std::string_view event, const LogFields& fields) {
  LOG4CPLUS_WARN(RootLogger(), FormatLogLine(event, fields));
}

void LogError(std::string_view event, const LogFields& fields) {
  LOG4CPLUS_ERROR(RootLogger(), FormatLogLine(event, fields));
}

}  // namespace peridotmill
