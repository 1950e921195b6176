/** @file hash_func.cpp Digests and rendezvous hashing. */
#include "core/hash_func.h"

#include <array>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <random>
#include <stdexcept>
#include <vector>
#include <xxhash.h>

namespace laburnumweir {

namespace {

std::string
ToHex(std::span<const unsigned char> aBytes)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (const unsigned char byte : aBytes) {
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 0xf]);
  }
  return text;
}

} // namespace

std::uint64_t
RendezvousWeight(std::string_view aNode, std::string_view aKey)
{
  const std::uint64_t seed = XXH3_64bits(aNode.data(), aNode.size());
  return XXH3_64bits_withSeed(aKey.data(), aKey.size(), seed);
}

HostId
RendezvousOwner(std::span<const HostId> aNodes, std::string_view aKey)
{
  const HostId* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const HostId& node : aNodes) {
    const std::uint64_t weight = RendezvousWeight(node.Value(), aKey);
    // Ties are broken by name, so that all hosts choose the same owner.
    if (best == nullptr || weight > bestWeight || (weight == bestWeight && node < *best)) {
      best = &node;
      bestWeight = weight;
    }
  }
  return best == nullptr ? HostId() : *best;
}

std::uint64_t
ProcessHash(std::string_view aText)
{
  static const std::uint64_t kSeed = [] {
    std::random_device device;
    return std::uint64_t{ device() } << 32 | device();
  }();
  return XXH3_64bits_withSeed(aText.data(), aText.size(), kSeed);
}

std::string
Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), digest.data());
  return ToHex(digest);
}

std::string
SecureRandomHex(std::size_t aBytes)
{
  std::vector<unsigned char> bytes(aBytes);
  if (RAND_bytes(bytes.data(), static_cast<int>(aBytes)) != 1) {
    throw std::runtime_error("OpenSSL could not generate random bytes");
  }
  return ToHex(bytes);
}

} // namespace laburnumweir
