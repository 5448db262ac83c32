// Exponentially decaying sum; divided by its time constant it estimates a rate.
#pragma once

#include <guavafield/state/types.hpp>

#include <chrono>
#include <cmath>

namespace guavafield {

using Seconds = std::chrono::duration<double>;

/*! @brief Returns the difference between two points in time in seconds. */
[[nodiscard]] inline double secondsBetween(SteadyTime from, SteadyTime to) noexcept
{
    return Seconds(to - from).count();
}

/*! @brief Adds a duration in seconds to a point in time. */
[[nodiscard]] inline SteadyTime addSeconds(SteadyTime from, double seconds) noexcept
{
    return from + std::chrono::duration_cast<SteadyTime::duration>(Seconds(seconds));
}

/*! @brief Sum of amounts, each of which decays exponentially with its age. */
class DecayingSum
{
public:
    explicit DecayingSum(double timeConstantSeconds) noexcept : m_timeConstant(timeConstantSeconds) { }

    void add(double amount, SteadyTime now) noexcept
    {
        m_sum = valueAt(now) + amount;
        m_updated = now;
    }

    [[nodiscard]] double valueAt(SteadyTime now) const noexcept
    {
        return m_sum * std::exp(-secondsBetween(m_updated, now) / m_timeConstant);
    }

    /*! @brief Returns the estimated rate per second. */
    [[nodiscard]] double rateAt(SteadyTime now) const noexcept
    {
        return valueAt(now) / m_timeConstant;
    }

private:
    double m_timeConstant;
    double m_sum{0};
    SteadyTime m_updated{};
};

} // namespace guavafield
