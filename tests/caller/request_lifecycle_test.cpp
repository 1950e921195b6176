/** @file request_lifecycle_test.cpp Transitions of a request. */
#include "caller/request_lifecycle.h"

#include <array>
#include <gtest/gtest.h>
#include <utility>
#include <vector>

namespace laburnumweir {
namespace {

using Event = RequestEvent;
using Stage = RequestStage;

constexpr std::array kEvents{ Event::Read, Event::HandedOver, Event::Sent, Event::Begin,
                              Event::End,  Event::Complete,   Event::Fail, Event::Disconnect };

/** Guards against a stage that is not the state of the table. */
TEST(RequestLifecycle, PassesThroughTheStages)
{
  RequestLifecycle request;
  EXPECT_EQ(Stage::Reading, request.Stage());
  const std::vector<std::pair<Event, Stage>> steps{
    { Event::Read, Stage::Admitting }, { Event::HandedOver, Stage::Queued },
    { Event::Sent, Stage::Running },   { Event::Begin, Stage::Streaming },
    { Event::End, Stage::Done },
  };
  for (const auto& [event, stage] : steps) {
    EXPECT_TRUE(request.Apply(event));
    EXPECT_EQ(stage, request.Stage());
  }
}

/** Guards against two final answers, or a change after the end: tries every sequence of up to six
 * events. */
TEST(RequestLifecycle, HasOneEndInEverySequence)
{
  std::size_t total = 1;
  for (int i = 0; i < 6; ++i) {
    total *= kEvents.size();
  }
  for (std::size_t sequence = 0; sequence < total; ++sequence) {
    RequestLifecycle request;
    int ends = 0;
    auto rest = sequence;
    for (int i = 0; i < 6; ++i, rest /= kEvents.size()) {
      const auto before = request.Stage();
      const auto event = kEvents[rest % kEvents.size()];
      const bool isApplied = request.Apply(event);
      if (before >= Stage::Done) {
        ASSERT_FALSE(isApplied) << sequence;
      }
      ASSERT_EQ(isApplied, request.Stage() != before) << sequence;
      ends += isApplied && request.Stage() >= Stage::Done ? 1 : 0;
      if (event == Event::Disconnect || event == Event::Fail) {
        ASSERT_GE(request.Stage(), Stage::Done) << sequence;
      }
    }
    ASSERT_LE(ends, 1) << sequence;
  }
}

} // namespace
} // namespace laburnumweir
