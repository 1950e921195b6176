/** @file logging_func.cpp Structured log lines for state changes. */
#include "logging/logging_func.h"

#include "logging/bounded_appender.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

namespace laburnumweir {

namespace {

/** Layout of a line; %D is the time in UTC, with milliseconds. */
constexpr const char* kLinePattern = "time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n";

log4cplus::Logger&
EventLogger()
{
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("laburnumweir");
  return logger;
}

std::string&
LoggedHost()
{
  static std::string host;
  return host;
}

log4cplus::LogLevel
ToLibraryLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
      break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

void
AppendValue(std::string& aLine, const std::string& aValue)
{
  if (!aValue.empty() && aValue.find_first_of(" \"=\n\\") == std::string::npos) {
    aLine += aValue;
    return;
  }
  aLine.push_back('"');
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      aLine.push_back('\\');
    }
    aLine.push_back(c == '\n' ? ' ' : c);
  }
  aLine.push_back('"');
}

} // namespace

void
StartLogging(std::string_view aLevel, const std::string& aFile, std::string_view aHost)
{
  static log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender;
  if (aFile == "stdout") {
    appender = new BoundedAppender(STDOUT_FILENO);
  } else if (aFile == "-") {
    appender = new log4cplus::ConsoleAppender(true, true);
  } else {
    appender = new log4cplus::FileAppender(aFile, std::ios_base::app, true);
  }
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(kLinePattern));
  EventLogger().addAppender(appender);
  EventLogger().setLogLevel(log4cplus::getLogLevelManager().fromString(aLevel == "debug"  ? "DEBUG"
                                                                       : aLevel == "warn" ? "WARN"
                                                                       : aLevel == "error"
                                                                         ? "ERROR"
                                                                         : "INFO"));
  LoggedHost() = std::string(aHost);
}

void
LogEvent(LogLevel aLevel, std::string_view aEvent, std::initializer_list<LogField> aFields)
{
  if (LoggedHost().empty()) {
    return;
  }
  std::string line = "host=" + LoggedHost() + " event=" + std::string(aEvent);
  for (const auto& [name, value] : aFields) {
    line += " " + std::string(name) + "=";
    AppendValue(line, value);
  }
  EventLogger().log(ToLibraryLevel(aLevel), line);
}

} // namespace laburnumweir
