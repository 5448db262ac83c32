// Limits a host's concurrent attempts at one upstream: its share of the slots plus slots that other hosts leave free.
#pragma once

#include <guavafield/state/types.hpp>

#include <cstdint>

namespace guavafield {

/*! @brief AIMD limit: increases additively while slots are free, decreases multiplicatively when the upstream slows down. */
class ConcurrencyLimit
{
public:
    /*!
     * @brief Sets the bounds.
     * @param base This host's share of the slots.
     * @param slots Total slots of the upstream.
     */
    void configure(std::uint32_t base, std::uint32_t slots) noexcept;

    /*! @brief Sets the upper bound of the limit, which may exceed this host's share; reduces the limit if it is above the bound. */
    void setCeiling(double ceiling) noexcept;
    /*! @brief Increases the limit up to the ceiling; called when all permitted attempts are in use. */
    void onReached() noexcept;
    /*! @brief Decreases the limit; called when token times far exceed the upstream's best. */
    void onCongestion(SteadyTime now) noexcept;
    /*! @brief Raises a decreased limit back towards the host's share; called when token times are normal. */
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
 * @brief Returns a host's share of an upstream's slots; the shares of all hosts sum to the total.
 * @param hostIndex Index of the host, below hosts.
 * @param offset Identical on all hosts, different per upstream, so that rounding does not always favour the same host.
 */
[[nodiscard]] std::uint32_t hostShareOfSlots(std::uint32_t slots, std::uint32_t hosts, std::uint32_t hostIndex, std::uint64_t offset) noexcept;

} // namespace guavafield
