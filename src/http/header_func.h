/** @file header_func.h Rules for HTTP header fields that pass through this host. */
#ifndef LABURNUMWEIR_HTTP_HEADER_FUNC_H
#define LABURNUMWEIR_HTTP_HEADER_FUNC_H

#include "core/request_type.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace laburnumweir {

/** Longest name or value of a field that a message of the HTTP library can hold; it throws an
 * exception for a longer one. */
inline constexpr std::size_t kMaxFieldBytes = 65533;

/** @return whether two field names or tokens are the same, ignoring the case of ASCII letters. */
bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/** @return the text with ASCII letters in lower case. */
std::string
ToLower(std::string_view aText);

/**
 * Removes the first item of a comma-separated list.
 * @param aList the list; on return, the items after it.
 * @return the item without blanks around it; may be empty.
 */
std::string_view
TakeListItem(std::string_view& aList);

/** @return the value of the first field with this name (any case); empty if there is none. */
std::string_view
FindField(const HeaderList& aHeaders, std::string_view aName);

/**
 * @param aName a field name.
 * @param aConnection value of the message's Connection field, which may name further fields.
 * @return whether the field belongs to one connection and must not be passed on (RFC 9110, 7.6.1).
 */
bool
IsHopByHop(std::string_view aName, std::string_view aConnection);

/**
 * @return whether a text can be sent as the value of a field: it is not too long and has no control
 * bytes other than tabs, which could end the field (RFC 9110, 5.5).
 */
bool
IsFieldValue(std::string_view aText);

/**
 * @return whether a field holds a secret between the caller and this host: credentials of any form,
 * and cookies, in which browsers may keep a key.
 */
bool
IsCallerSecret(std::string_view aName);

} // namespace laburnumweir

#endif
