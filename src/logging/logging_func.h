/** @file logging_func.h Structured log lines for state changes. */
#ifndef LABURNUMWEIR_LOGGING_LOGGING_FUNC_H
#define LABURNUMWEIR_LOGGING_LOGGING_FUNC_H

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumweir {

/** Severity of a log line. */
enum class LogLevel
{
  Debug, ///< Details for developers.
  Info,  ///< A state change that is part of normal operation.
  Warn,  ///< A state change that an operator may want to investigate.
  Error  ///< A failure that does not occur in normal operation.
};

using LogField = std::pair<std::string_view, std::string>; ///< Name and value.

/**
 * Configures logging. Lines logged before this call are discarded.
 * @param aLevel lowest level written: debug, info, warn or error; any other text means info.
 * @param aFile path of the file; "-" for standard error; "stdout" for standard output, where
 * writing never blocks and lines above a rate are dropped (see BoundedAppender).
 * @param aHost name of this host, written in each line; must not be empty.
 */
void
StartLogging(std::string_view aLevel, const std::string& aFile, std::string_view aHost);

/**
 * Writes a line `host=HOST event=NAME key=value ...`. Use it only for state changes, and never log
 * a caller's key or a prompt.
 * @param aEvent name of the event, without spaces.
 * @param aFields further fields; values that are empty or contain a space, a quotation mark, `=`, a
 *        backslash or a line break are quoted.
 */
void
LogEvent(LogLevel aLevel, std::string_view aEvent, std::initializer_list<LogField> aFields = {});

} // namespace laburnumweir

#endif
