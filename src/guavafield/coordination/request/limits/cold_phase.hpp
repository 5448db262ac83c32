// Rate limit of an upstream whose caches are cold.
#pragma once

#include <guavafield/coordination/request/limits/shared_rate_limit.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>

namespace guavafield {

/*! @brief How long the upstreams of a pool are cold after their start, and what one takes meanwhile. */
struct ColdStart
{
    Milliseconds duration{0};
    // Requests a second of all hosts together; 0 if the pool has no cold phase.
    double perSecond{0};

    [[nodiscard]] bool limited() const noexcept
    {
        return perSecond > 0;
    }
};

/*!
 * @brief Cold phase of one upstream as seen by one host.
 *
 * An upstream that receives more than its rate while it is cold crashes, so all hosts divide that rate, see SharedRateLimit.
 */
class ColdPhase
{
public:
    static constexpr std::uint8_t lowestPriority = 9;

    /*! @brief Begins the phase, or extends it; it is never shortened. */
    void extend(SteadyTime until, double perSecond, std::uint64_t upstream, const FleetTurn &turn, SteadyTime now)
    {
        if (until <= now) {
            return;
        }
        if (!active(now) || m_permits->perSecond() != perSecond) {
            m_permits.emplace(perSecond, upstream, turn, now);
        }
        m_until = std::max(m_until, until);
    }
    /*! @brief Divides the rate anew. */
    void setTurn(std::uint64_t upstream, const FleetTurn &turn, SteadyTime now)
    {
        if (active(now)) {
            m_permits.emplace(m_permits->perSecond(), upstream, turn, now);
        }
    }

    [[nodiscard]] bool active(SteadyTime now) const noexcept
    {
        return m_permits && now < m_until;
    }
    /*!
     * @brief Whether this host may send a request now.
     *
     * A permit is for urgent requests at first and for others as it ages, so that these do not use up the few permits of a host.
     * @param priority 0 is the highest, lowestPriority the lowest.
     */
    [[nodiscard]] bool available(SteadyTime now, std::uint8_t priority = 0) const noexcept
    {
        const auto reservedFor = SharedRateLimit::permitLifetime * std::min(priority, lowestPriority) / (2 * lowestPriority);
        return !active(now) || m_permits->available(now, reservedFor);
    }
    void use(SteadyTime now) noexcept
    {
        if (active(now)) {
            m_permits->use(now);
        }
    }

private:
    SteadyTime m_until{};
    // Set by the first phase.
    std::optional<SharedRateLimit> m_permits;
};

} // namespace guavafield
