/** @file key_func.h Keys of callers and their digests. */
#ifndef LABURNUMWEIR_RULES_KEY_FUNC_H
#define LABURNUMWEIR_RULES_KEY_FUNC_H

#include "rules/rule_book.h"

#include <string>
#include <string_view>

namespace laburnumweir {

/** A new key and the line to put into the rule file. */
struct NewKey
{
  std::string key_; ///< Key for the caller; shown once and never stored.
  RuleLine line_;   ///< Rule line with the digest.
};

/**
 * @param aKey key as shown by a caller.
 * @return SHA-256 of the key.
 */
KeyDigest
DigestKey(std::string_view aKey);

/**
 * Generates a key: "lw_" and 32 random bytes in hex.
 * @param aWorkspace workspace of the key.
 * @param aName name of the key for people, may be empty.
 * @param aWho who asked for it.
 * @return the key and its rule line.
 * @throws std::runtime_error if the random generator of the system fails.
 */
NewKey
GenerateKey(const WorkspaceId& aWorkspace, std::string aName, std::string aWho);

} // namespace laburnumweir

#endif
