/** @file hash_test.cpp Tests of digests, rendezvous hashing and adapter references. */
#include "core/hash_func.h"

#include <gtest/gtest.h>
#include <vector>

namespace laburnumweir {
namespace {

/** Guards against the removal of a host moving keys that it did not own. */
TEST(RendezvousOwner, OnlyKeysOfTheLostHostMove)
{
  std::vector<HostId> hosts;
  for (int i = 0; i < 8; ++i) {
    hosts.emplace_back("host-" + std::to_string(i));
  }
  const HostId lost = hosts[3];
  std::vector<HostId> remaining = hosts;
  remaining.erase(remaining.begin() + 3);
  for (int i = 0; i < 1000; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const HostId before = RendezvousOwner(hosts, key);
    if (before != lost) {
      EXPECT_EQ(before, RendezvousOwner(remaining, key)) << key;
    }
  }
}

/** Guards against hosts that choose different owners because they list the hosts in different
 * sequences. */
TEST(RendezvousOwner, DoesNotDependOnTheSequence)
{
  const std::vector<HostId> forward{ HostId("a"), HostId("b"), HostId("c") };
  const std::vector<HostId> backward{ HostId("c"), HostId("b"), HostId("a") };
  EXPECT_EQ(RendezvousOwner(forward, "x"), RendezvousOwner(backward, "x"));
  EXPECT_TRUE(RendezvousOwner({}, "x").IsEmpty());
}

/** Guards against a digest whose form differs from that in the rule file. */
TEST(Sha256Hex, GivesLowerCaseHex)
{
  EXPECT_EQ("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", Sha256Hex("abc"));
}

/** Guards against accepting an adapter reference without a name or a version. */
TEST(AdapterRef, NeedsNameAndVersion)
{
  AdapterRef ref;
  EXPECT_TRUE(AdapterRef::Parse("kite@v3", ref));
  EXPECT_EQ("kite", ref.name_);
  EXPECT_EQ("v3", ref.version_);
  EXPECT_FALSE(AdapterRef::Parse("kite", ref));
  EXPECT_FALSE(AdapterRef::Parse("@v3", ref));
  EXPECT_FALSE(AdapterRef::Parse("kite@", ref));
}

} // namespace
} // namespace laburnumweir
