#include "peridotmill_net/logging/event_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <cstdio>
#include <memory>

namespace peridotmill {
namespace {

log4cplus::Logger RootLogger() {
  return log4cplus::Logger::getRoot();
}

bool NeedsQuotes(std::string_view value) {
  if (value.empty()) {
    return true;
  }
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte <= ' ' || byte == '"' || byte == '=' || byte == '\\' ||
        byte >= 0x7f) {
      return true;
    }
  }
  return false;
}

void AppendValue(std::string_view value, std::string& line) {
  if (!NeedsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      line += '\\';
      line += c;
    } else if (byte < ' ' || byte >= 0x7f) {
      char escaped[8];
      std::snprintf(escaped, sizeof(escaped), "\\x%02x", byte);
      line += escaped;
    } else {
      line += c;
    }
  }
  line += '"';
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
  AppendValue(event, line);
  for (const auto& [key, value] : fields) {
    line += ' ';
    line += key;
    line += '=';
    AppendValue(value, line);
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
