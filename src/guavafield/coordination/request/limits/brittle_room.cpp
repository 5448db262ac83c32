// Shrinking and growing of a host's part.
#include <guavafield/coordination/request/limits/brittle_room.hpp>

#include <guavafield/coordination/request/decaying_sum.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

constexpr double growthPerSecond = 1;
constexpr double minRejectionPauseSeconds = 1;
constexpr double maxRejectionPauseSeconds = 600;

} // namespace internal

BrittleRoom::BrittleRoom(double rejectionsPerSecond, std::uint32_t share, std::uint32_t hosts, SteadyTime now) noexcept
    : m_rejectionsPerSecond(rejectionsPerSecond), m_share(share), m_hosts(std::max(1U, hosts)), m_limit(share), m_limitTime(now)
{
}

double BrittleRoom::limitAt(SteadyTime now) const noexcept
{
    return std::min<double>(m_share, m_limit + internal::growthPerSecond * std::max(0.0, secondsBetween(m_limitTime, now)));
}

void BrittleRoom::resize(std::uint32_t share, std::uint32_t hosts) noexcept
{
    m_share = share;
    m_hosts = std::max(1U, hosts);
}

bool BrittleRoom::available(std::uint32_t outstanding, SteadyTime now) const noexcept
{
    return now >= m_notBefore && outstanding + 1 <= limitAt(now);
}

void BrittleRoom::onRejected(SteadyTime now) noexcept
{
    m_limit = std::max(1.0, limitAt(now) / 2);
    m_limitTime = now;
    const double pause = m_rejectionsPerSecond > 0 ? m_hosts / m_rejectionsPerSecond : internal::maxRejectionPauseSeconds;
    m_notBefore = addSeconds(now, std::clamp(pause, internal::minRejectionPauseSeconds, internal::maxRejectionPauseSeconds));
}

} // namespace guavafield
