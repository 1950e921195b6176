/** @file odd_entry_test.cpp Tests that an odd entry of another writer among those of the upstreams
 * harms neither the host that reads it nor the hosts to which it is relayed.
 */
#include "dispatch/fake_clock.h"
#include "fleet/fleet_support.h"
#include "gateway/gossip_message.h"
#include "platform/record_codec.h"

#include <gtest/gtest.h>

namespace laburnumweir::platform {
namespace {

using namespace std::chrono_literals;

/** What another writer has left. */
struct OddEntry
{
  const char* name_;
  std::string key_;
  std::string text_;
};

void
PrintTo(const OddEntry& aEntry, std::ostream* aStream)
{
  *aStream << aEntry.name_;
}

/** @return an entry with one field replaced or added. */
std::string
EntryWith(const std::string& aName, const std::string& aValue)
{
  std::map<std::string, std::string> fields{ { "service", "\"llm\"" },
                                             { "address", "\"10.1.2.3:8080\"" },
                                             { "zone", "\"dc1\"" },
                                             { "slots", "8" },
                                             { "state", "\"ready\"" },
                                             { "born", "1791294745562" },
                                             { "cold_remaining_ms", "0" },
                                             { "sequence", "4" },
                                             { "models", "[]" } };
  fields[aName] = aValue;
  std::string text = "{";
  for (const auto& [name, value] : fields) {
    text += (text.size() > 1 ? ",\"" : "\"") + name + "\":" + value;
  }
  return text + "}";
}

OddEntry
Odd(const char* aName, const std::string& aField, const std::string& aValue)
{
  return { aName, "odd", EntryWith(aField, aValue) };
}

class OddEntryTest : public testing::TestWithParam<OddEntry>
{
protected:
  FakeClock clock_;
  FleetState reader_{ clock_, HostId("h1"), DataCentreId("dc1") };
  FleetState other_{ clock_, HostId("h2"), DataCentreId("dc1") };
};

// Guards against a process that ends, or hosts that no longer follow the upstreams, because of one
// entry: by itself, with the records beside it, or in what a store reader relays.
TEST_P(OddEntryTest, NamesNoUpstreamAndTheOthersHold)
{
  const auto good = EntryWith("slots", "8");
  const auto& odd = GetParam();
  ChangeBatch batch;
  batch.isGapless_ = true;
  batch.next_ = 3;
  for (const auto& record : { KeyedRecord{ "good1", good },
                              KeyedRecord{ odd.key_, odd.text_ },
                              KeyedRecord{ "good2", good } }) {
    bool isMalformed = false;
    batch.changes_.push_back(DecodeUpstreamRecord(record, isMalformed));
    EXPECT_EQ(isMalformed, record.key_ == odd.key_);
  }
  reader_.ApplyUpstreams(batch, false);
  GossipMessage message;
  message.host_ = { HostId("h1"), { "10.0.0.1", 7600 }, DataCentreId("dc1") };
  message.reply_ = RelayReply();
  message.reply_->upstreams_ = StorePosition{ 0, 3 };
  message.reply_->changes_ = reader_.Changes().Since({ 0, 0 });
  const auto relayed = DecodeGossip(EncodeGossip(message));
  ASSERT_TRUE(relayed && relayed->reply_ && relayed->reply_->changes_);
  batch.changes_.assign(relayed->reply_->changes_->begin(), relayed->reply_->changes_->end());
  batch.isGapless_ = false;
  other_.ApplyUpstreams(batch, false);
  for (auto* state : { &reader_, &other_ }) {
    EXPECT_EQ(state->Upstreams().All().size(), 2U);
    UpstreamNeed need;
    need.service_ = ServiceName("llm");
    EXPECT_NE(state->Upstreams().Choose(need).upstream_, nullptr);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Entries,
  OddEntryTest,
  testing::Values(OddEntry{ "DeeplyNested", "odd", EntryWith("models", std::string(100000, '[')) },
                  OddEntry{ "DeeplyNestedObjects",
                            "odd",
                            EntryWith("models",
                                      [] {
                                        std::string text;
                                        for (int i = 0; i < 50000; ++i) {
                                          text += "{\"a\":";
                                        }
                                        return text;
                                      }()) },
                  Odd("LargeColdTime", "cold_remaining_ms", "1e300"),
                  Odd("LargeWholeColdTime", "cold_remaining_ms", "9223372036854775807"),
                  Odd("NegativeColdTime", "cold_remaining_ms", "-1e300"),
                  Odd("TextAsColdTime", "cold_remaining_ms", "\"soon\""),
                  Odd("NumberBeyondADouble", "cold_remaining_ms", "1e999999"),
                  Odd("LargeSlots", "slots", "99999999999"),
                  Odd("FractionOfASlot", "slots", "0.5"),
                  Odd("LargeStart", "born", "1e30"),
                  Odd("LargeWholeStart", "born", "9223372036854775807"),
                  Odd("NegativeStart", "born", "-9223372036854775808"),
                  Odd("NegativeHeartbeat", "sequence", "-1"),
                  Odd("LargeHeartbeat", "sequence", "18446744073709551615"),
                  Odd("NumberAsSoftware", "version", "2"),
                  Odd("LargePort", "address", "\"10.1.2.3:70000\""),
                  Odd("NegativePort", "address", "\"10.1.2.3:-1\""),
                  Odd("PortZero", "address", "\"10.1.2.3:0\""),
                  Odd("HostName", "address", "\"upstream.example:80\""),
                  Odd("NumberAsAddress", "address", "80"),
                  OddEntry{ "UnreadableText", "odd", "\xff\xfe\x00" },
                  OddEntry{ "UnreadableKey", "\xff\xfe", EntryWith("slots", "8") },
                  OddEntry{ "KeyWithALineEnd", "odd\r\nX-Tenant: other", EntryWith("slots", "8") },
                  OddEntry{ "EmptyKey", "", EntryWith("slots", "8") }),
  [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace laburnumweir::platform
