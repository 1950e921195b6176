/** @file duplicate_key.h Detection of repeated names in JSON objects. */
#ifndef LABURNUMWEIR_CALLER_DUPLICATE_KEY_H
#define LABURNUMWEIR_CALLER_DUPLICATE_KEY_H

#include <optional>
#include <string>
#include <string_view>

namespace laburnumweir {

/**
 * Finds a name that occurs twice in one object of a JSON text. Parsers differ on which of the two
 * values counts, so that the engine could read another model or limit than this host.
 * @param aJson valid JSON text.
 * @return the first such name, if there is one.
 */
std::optional<std::string>
FindDuplicateKey(std::string_view aJson);

} // namespace laburnumweir

#endif
