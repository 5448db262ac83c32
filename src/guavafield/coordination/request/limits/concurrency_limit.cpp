// Adaptive concurrency limit with additive increase and multiplicative decrease.
#include <guavafield/coordination/request/limits/concurrency_limit.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

constexpr double decreaseFactor = 0.8;
// Minimum time between decreases, so that one congestion event is counted once.
constexpr Milliseconds decreaseInterval{500};

} // namespace internal

void ConcurrencyLimit::configure(std::uint32_t base, std::uint32_t slots) noexcept
{
    const bool changed = m_base != base || m_slots != slots;
    m_base = std::max(1U, base);
    m_slots = std::max(slots, std::max(1U, base));
    m_limit = changed ? m_base : m_limit;
    m_ceiling = changed ? m_base : m_ceiling;
}

void ConcurrencyLimit::setCeiling(double ceiling) noexcept
{
    m_ceiling = std::clamp(ceiling, m_base, m_slots);
    m_limit = std::min(m_limit, m_ceiling);
}

void ConcurrencyLimit::onReached() noexcept
{
    m_limit = std::min(m_ceiling, m_limit + 1 / m_limit);
}

void ConcurrencyLimit::onCongestion(SteadyTime now) noexcept
{
    if (now - m_lastDecrease < internal::decreaseInterval) {
        return;
    }
    m_lastDecrease = now;
    m_limit = std::max(1.0, m_limit * internal::decreaseFactor);
}

void ConcurrencyLimit::onHealthy() noexcept
{
    if (m_limit < m_base) {
        m_limit = std::min(m_base, m_limit + 1 / m_limit);
    }
}

std::uint32_t hostShareOfSlots(std::uint32_t slots, std::uint32_t hosts, std::uint32_t hostIndex, std::uint64_t offset) noexcept
{
    const auto position = static_cast<std::uint32_t>((offset + hostIndex) % hosts);
    return (slots + position) / hosts;
}

} // namespace guavafield
