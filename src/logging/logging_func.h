/** @file logging_func.h Structured log lines for changes of state. */
#ifndef LABURNUMWEIR_LOGGING_LOGGING_FUNC_H
#define LABURNUMWEIR_LOGGING_LOGGING_FUNC_H

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumweir {

/** Weight of a log line. */
enum class LogLevel
{
  Debug, ///< Details for developers.
  Info,  ///< A change of state that is part of normal operation.
  Warn,  ///< A change that an operator may want to look at.
  Error  ///< Something failed that should not.
};

using LogField = std::pair<std::string_view, std::string>; ///< Name and value.

/**
 * Sets logging up; before this call lines are dropped.
 * @param aLevel lowest level written: debug, info, warn or error.
 * @param aFile path of the file, "-" for standard error, or "stdout" for standard output, to which
 *        lines are written without ever blocking.
 * @param aHost name of this host, part of each line.
 */
void
StartLogging(std::string_view aLevel, const std::string& aFile, std::string_view aHost);

/**
 * Writes a line `event=NAME key=value ...`. Only for changes of state; never with a key or a
 * prompt.
 * @param aLevel weight of the line.
 * @param aEvent name of the event.
 * @param aFields further fields; values with spaces are quoted.
 */
void
LogEvent(LogLevel aLevel, std::string_view aEvent, std::initializer_list<LogField> aFields = {});

} // namespace laburnumweir

#endif
