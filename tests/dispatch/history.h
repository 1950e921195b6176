/** @file history.h Runs random histories of steps against a world that checks itself. */
#ifndef LABURNUMWEIR_TESTS_DISPATCH_HISTORY_H
#define LABURNUMWEIR_TESTS_DISPATCH_HISTORY_H

#include <cstdint>
#include <gtest/gtest.h>
#include <memory>
#include <ostream>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <sstream>

namespace laburnumweir {

/** The expected state is part of the world, because it depends on the answers of the code. */
struct NoModel
{};

/** One step: which action, with two numbers that the world interprets. */
template<typename World>
class Step : public rc::state::Command<NoModel, World>
{
public:
  Step()
    : action_(*rc::gen::inRange<std::uint32_t>(0, World::kActions))
    , first_(*rc::gen::inRange<std::uint32_t>(0, 1U << 16))
    , second_(*rc::gen::inRange<std::uint32_t>(0, 1U << 16))
  {
  }
  void run(const NoModel& /*aModel*/, World& aWorld) const override
  {
    aWorld.Run(action_, first_, second_);
  }
  void show(std::ostream& aStream) const override
  {
    aStream << World::NameOf(action_) << "(" << first_ << ", " << second_ << ")";
  }

private:
  std::uint32_t action_; ///< Action of the world.
  std::uint32_t first_;  ///< First number.
  std::uint32_t second_; ///< Second number.
};

/** Runs histories with a fixed seed; fails with the shortest one that breaks the world's checks. */
template<typename World>
void
RunHistories(int aCount, std::uint64_t aSeed, int aLength)
{
  rc::detail::TestParams params;
  params.seed = aSeed;
  params.maxSuccess = aCount;
  params.maxSize = aLength;
  rc::detail::TestMetadata metadata;
  metadata.id = testing::UnitTest::GetInstance()->current_test_info()->name();
  const auto result = rc::detail::checkTestable(
    [] {
      World world;
      rc::state::check(NoModel{}, world, rc::state::gen::execOneOfWithArgs<Step<World>>());
      world.Finish();
    },
    metadata,
    params);
  if (!result.template is<rc::detail::SuccessResult>()) {
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    FAIL() << text.str();
  }
}

} // namespace laburnumweir

#endif
