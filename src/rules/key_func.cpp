/** @file key_func.cpp Keys of callers and their digests. */
#include "rules/key_func.h"

#include "core/hash_func.h"

#include <utility>

namespace laburnumweir {

KeyDigest
DigestKey(std::string_view aKey)
{
  return KeyDigest(Sha256Hex(aKey));
}

NewKey
GenerateKey(const WorkspaceId& aWorkspace, std::string aName, std::string aWho)
{
  static constexpr std::size_t kKeyBytes = 32;
  NewKey result;
  result.key_ = "lw_" + SecureRandomHex(kKeyBytes);
  result.line_ =
    MakeRuleLine(KeyRule{ aWorkspace, DigestKey(result.key_), std::move(aName) }, std::move(aWho));
  return result;
}

} // namespace laburnumweir
