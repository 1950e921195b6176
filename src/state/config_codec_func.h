/** @file config_codec_func.h JSON text of the records of the configuration stream. */
#ifndef LABURNUMWEIR_STATE_CONFIG_CODEC_FUNC_H
#define LABURNUMWEIR_STATE_CONFIG_CODEC_FUNC_H

#include "state/config_record_type.h"

#include <string>
#include <string_view>
#include <system_error>

namespace laburnumweir {

/** Schema version that this release writes and the newest that it reads. */
constexpr std::uint64_t kConfigSchema = 1;

/**
 * @param aRecord record to write; unknown records cannot be written.
 * @return JSON text.
 */
std::string
EncodeRecord(const ConfigRecord& aRecord);

/**
 * Reads a record.
 * @param aText JSON text.
 * @param aRecord receives the record; UnknownRecord for a kind that this release does not know.
 * @return MalformedRecord or NewerSchema, or no error.
 */
std::error_code
DecodeRecord(std::string_view aText, ConfigRecord& aRecord);

} // namespace laburnumweir

#endif
