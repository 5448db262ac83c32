// Queue of one pool: strict priority between tiers, with a floor (minimum dispatch rate) for each tier below the top.
#pragma once

#include <guavafield/coordination/request/admission/fair_queue.hpp>

#include <array>
#include <cstdint>

namespace guavafield {

/*! @brief Fraction of the capacity guaranteed to each tier below the top. */
inline constexpr double floorFraction = 0.02;
/*! @brief Number of dispatches within which each waiting tier below the top gets one. */
inline constexpr std::uint32_t floorInterval = 50;
/*! @brief Dispatches after which a tier is due again; below floorInterval, so that several tiers due at once are all served in time. */
inline constexpr std::uint32_t floorDueAfter = floorInterval - (tierCount - 2);
/*! @brief Fraction of the capacity that is not reserved by the floors of the lower tiers. */
inline constexpr double fractionOutsideFloors = 1 - floorFraction * (tierCount - 1);

/*! @brief Orders the requests of one pool. */
class PoolQueue
{
public:
    /*! @brief The next request and whether the floor of its tier selected it. */
    struct Pick
    {
        RequestEntry *entry{nullptr};
        bool byFloor{false};
    };

    /*! @brief Returns the next request; the entry is null if none is waiting. */
    [[nodiscard]] Pick next(SteadyTime now) const noexcept;
    /*! @brief Removes a picked request for dispatch and updates the floor counters. */
    void take(const Pick &pick);

    [[nodiscard]] FairQueue &tier(Tier tier) noexcept
    {
        return m_tiers[tier];
    }
    [[nodiscard]] const FairQueue &tier(Tier tier) const noexcept
    {
        return m_tiers[tier];
    }
    /*! @brief Returns the number of dispatches until the next floor dispatch of a tier. */
    [[nodiscard]] std::uint32_t dispatchesToFloor(Tier tier) const noexcept
    {
        return floorDueAfter - 1 - m_sinceFloor[tier];
    }
    [[nodiscard]] std::size_t size() const noexcept;

private:
    std::array<FairQueue, tierCount> m_tiers;
    // Dispatches since the tier's last floor dispatch, at most floorDueAfter - 1; unused for the top tier.
    std::array<std::uint32_t, tierCount> m_sinceFloor{};
};

} // namespace guavafield
