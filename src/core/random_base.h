/** @file random_base.h Interface for random numbers. */
#ifndef LABURNUMWEIR_CORE_RANDOM_BASE_H
#define LABURNUMWEIR_CORE_RANDOM_BASE_H

#include <cstdint>
#include <random>

namespace laburnumweir {

/** Source of random numbers for jitter and sampling. Not suitable for secrets; use
 * SecureRandomHex() for these. */
class RandomSource
{
public:
  virtual ~RandomSource() = default;
  /**
   * @param aBound upper bound, exclusive, greater than 0.
   * @return a uniformly distributed number in [0, aBound).
   */
  virtual std::uint64_t Below(std::uint64_t aBound) = 0;
};

/** Mersenne Twister (64 bits) with a given seed. */
class SeededRandom : public RandomSource
{
public:
  explicit SeededRandom(std::uint64_t aSeed)
    : engine_(aSeed)
  {
  }
  std::uint64_t Below(std::uint64_t aBound) override
  {
    return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(engine_);
  }

private:
  std::mt19937_64 engine_;
};

} // namespace laburnumweir

#endif
