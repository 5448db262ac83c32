// Permits of one host.
#include <guavafield/coordination/request/limits/shared_rate_limit.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace guavafield {

namespace internal {

// Returns a fraction from 0 to 1 that differs between upstreams.
double fractionOf(std::uint64_t hash) noexcept
{
    return static_cast<double>(hash) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace internal

SharedRateLimit::SharedRateLimit(double perSecond, std::uint64_t upstream, const FleetTurn &turn, SteadyTime now)
    : m_perSecond(perSecond)
    , m_clockOffset(turn.clockOffset)
    , m_interval(turn.hosts / std::clamp(perSecond, minRate, maxRate))
    , m_phase(static_cast<double>(turn.index) / turn.hosts + internal::fractionOf(upstream))
    , m_next(static_cast<std::int64_t>(std::floor(position(now) - m_phase)) + 1)
{
}

bool SharedRateLimit::available(SteadyTime now, Milliseconds heldFor) const noexcept
{
    return static_cast<double>(oldest(now)) + m_phase <= position(now - heldFor);
}

void SharedRateLimit::use(SteadyTime now) noexcept
{
    m_next = oldest(now) + 1;
}

double SharedRateLimit::position(SteadyTime now) const noexcept
{
    return std::chrono::duration<double>(now.time_since_epoch() + m_clockOffset).count() / m_interval;
}

std::int64_t SharedRateLimit::oldest(SteadyTime now) const noexcept
{
    const auto firstAlive = static_cast<std::int64_t>(std::floor(position(now - permitLifetime) - m_phase)) + 1;
    return std::max(m_next, firstAlive);
}

} // namespace guavafield
