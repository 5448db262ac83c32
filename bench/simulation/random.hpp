// Seeded random number generator. Unlike the standard distributions, it yields the same sequence on every platform.
#pragma once

#include <guavafield/coordination/request/split_mix.hpp>

#include <cmath>
#include <numbers>

namespace guavafield::bench {

/*! @brief SplitMix64 with exponential and log-normal distributions. */
class Random : public SplitMix
{
public:
    using SplitMix::SplitMix;

    [[nodiscard]] double exponential(double mean) noexcept
    {
        return -mean * std::log(uniform());
    }

    [[nodiscard]] double logNormal(double median, double sigma) noexcept
    {
        const double normal = std::sqrt(-2.0 * std::log(uniform())) * std::cos(2.0 * std::numbers::pi * uniform());
        return median * std::exp(sigma * normal);
    }
};

} // namespace guavafield::bench
