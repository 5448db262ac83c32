// One host's part of a rate that an upstream grants all hosts together.
#pragma once

#include <guavafield/state/types.hpp>

#include <cstdint>

namespace guavafield {

/*! @brief How the hosts of a fleet take turns. */
struct FleetTurn
{
    // Live hosts of all data centres; positive.
    std::uint32_t hosts{1};
    // Position of this host in their sorted list.
    std::uint32_t index{0};
    // Clock that all hosts agree on, minus the steady clock of this host.
    std::chrono::nanoseconds clockOffset{0};
};

/*!
 * @brief Permits of one host for one upstream.
 *
 * The fleet's permits follow each other at the upstream's rate, and belong to the hosts in turn. So the hosts keep the rate together without asking
 * each other. A permit lapses soon, so that permits that were not needed cannot be used in a burst.
 */
class SharedRateLimit
{
public:
    /*! @brief How long a permit can be used; all hosts together hold the permits of this time at most. */
    static constexpr Milliseconds permitLifetime{1'000};
    /*! @brief Requests a second at the least, since only an answer can end a limit. */
    static constexpr double minRate = 0.1;
    /*! @brief Larger rates are as good as none. */
    static constexpr double maxRate = 1e6;

    /*!
     * @param perSecond Rate for all hosts together.
     * @param upstream stableIdHash() of the upstream; separates the turns of several upstreams.
     * @param now Earlier permits are not granted.
     */
    SharedRateLimit(double perSecond, std::uint64_t upstream, const FleetTurn &turn, SteadyTime now);

    [[nodiscard]] double perSecond() const noexcept
    {
        return m_perSecond;
    }
    /*! @brief Returns whether this host holds a permit, for at least the given time. */
    [[nodiscard]] bool available(SteadyTime now, Milliseconds heldFor = Milliseconds{0}) const noexcept;
    /*! @brief Uses the oldest permit; without one, the next permit is used in advance. */
    void use(SteadyTime now) noexcept;

private:
    // Time on the agreed clock, in intervals between two permits of this host.
    [[nodiscard]] double position(SteadyTime now) const noexcept;
    // Number of the oldest permit that can be used or is still to come.
    [[nodiscard]] std::int64_t oldest(SteadyTime now) const noexcept;

    double m_perSecond;
    std::chrono::nanoseconds m_clockOffset;
    // Seconds between two permits of this host.
    double m_interval;
    // Permit n is granted at position n + m_phase.
    double m_phase;
    std::int64_t m_next;
};

} // namespace guavafield
