/** @file settings_func.h Reads the settings of a host. */
#ifndef LABURNUMWEIR_SERVE_SETTINGS_FUNC_H
#define LABURNUMWEIR_SERVE_SETTINGS_FUNC_H

#include "serve/settings_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace laburnumweir {

/**
 * Reads settings from JSON with comments and checks them as a whole.
 * @param aText text of the file.
 * @param aFileName name for error messages.
 * @param aSettings receives the settings.
 * @return all errors found; empty if the settings are valid.
 */
std::vector<std::string>
ParseSettings(std::string_view aText, std::string_view aFileName, Settings& aSettings);

} // namespace laburnumweir

#endif
