// Limit on a host's attempts at one upstream: its part of the slots, plus slots that others leave free.
#pragma once

#include <guavafield/state/types.hpp>

#include <cstdint>

namespace guavafield {

/*! @brief Additive increase while slots are free, multiplicative decrease when the upstream slows down. */
class ConcurrencyLimit
{
public:
    /*!
     * @brief Sets the bounds.
     * @param base This host's part of the slots.
     * @param slots All slots of the upstream.
     */
    void configure(std::uint32_t base, std::uint32_t slots) noexcept;

    /*! @brief Sets how far the limit may exceed this host's part; lowers it at once if it is higher. */
    void setCeiling(double ceiling) noexcept;
    /*! @brief The limit was in the way: it rises, at most to the ceiling. */
    void onReached() noexcept;
    /*! @brief Tokens come much slower than at the upstream's best. */
    void onCongestion(SteadyTime now) noexcept;
    /*! @brief Tokens come as fast as they should; a lowered limit rises towards the host's own part. */
    void onHealthy() noexcept;

    [[nodiscard]] std::uint32_t value() const noexcept
    {
        return static_cast<std::uint32_t>(m_limit);
    }
    [[nodiscard]] std::uint32_t base() const noexcept
    {
        return static_cast<std::uint32_t>(m_base);
    }

private:
    double m_base{1};
    double m_slots{1};
    // At least 1 and at most m_ceiling.
    double m_limit{1};
    // At least m_base and at most m_slots.
    double m_ceiling{1};
    SteadyTime m_lastDecrease{};
};

/*!
 * @brief Returns a host's part of an upstream's slots; the parts of all hosts add up to the slots.
 * @param hostIndex Place of the host, below hosts.
 * @param offset Same on all hosts; differs between upstreams so that no host is always rounded up.
 */
[[nodiscard]] std::uint32_t hostShareOfSlots(std::uint32_t slots, std::uint32_t hosts, std::uint32_t hostIndex, std::uint64_t offset) noexcept;

} // namespace guavafield
