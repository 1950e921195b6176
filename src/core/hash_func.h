/** @file hash_func.h Digests and rendezvous hashing. */
#ifndef LABURNUMWEIR_CORE_HASH_FUNC_H
#define LABURNUMWEIR_CORE_HASH_FUNC_H

#include "core/id_type.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace laburnumweir {

/**
 * Computes the weight of a node for a key. The node with the highest weight owns the key.
 * @return 64-bit XXH3 hash of the key, seeded with the hash of the node's name.
 */
std::uint64_t
RendezvousWeight(std::string_view aNode, std::string_view aKey);

/**
 * Chooses the owner of a key by rendezvous hashing.
 * @param aNodes candidate hosts; their sequence does not matter.
 * @return the owner; an empty identifier if there are no candidates.
 */
HostId
RendezvousOwner(std::span<const HostId> aNodes, std::string_view aKey);

/**
 * @return 64-bit XXH3 hash of the text with a seed that differs from process to process, so that
 * callers cannot choose texts that fall into the same bucket of a hash table.
 */
std::uint64_t
ProcessHash(std::string_view aText);

/** @return the SHA-256 digest of the bytes as 64 lower-case hex digits. */
std::string
Sha256Hex(std::string_view aText);

/**
 * @param aBytes number of random bytes.
 * @return cryptographically secure random bytes as lower-case hex digits, two for each byte.
 * @throws std::runtime_error if OpenSSL cannot generate random bytes.
 */
std::string
SecureRandomHex(std::size_t aBytes);

} // namespace laburnumweir

#endif
