// The queue of one pool: strict tiers with a floor for each tier below the top.
#pragma once

#include <guavafield/coordination/request/fair_queue.hpp>

#include <array>
#include <cstdint>

namespace guavafield {

/*! @brief Part of the capacity that each tier below the top owns. */
inline constexpr double floorFraction = 0.02;
/*! @brief One dispatch in this many is a floor turn of a tier that waits. */
inline constexpr std::uint32_t floorInterval = 50;
/*! @brief A tier is due this many dispatches after its last turn, so that all tiers that are due at once get theirs in time. */
inline constexpr std::uint32_t floorDueAfter = floorInterval - (tierCount - 2);
/*! @brief Part of the capacity outside the floors of all lower tiers. */
inline constexpr double fractionOutsideFloors = 1 - floorFraction * (tierCount - 1);

/*! @brief Orders the requests of one pool. */
class PoolQueue
{
public:
    /*! @brief The next request and whether the floor of its tier gave it its turn. */
    struct Pick
    {
        RequestEntry *entry{nullptr};
        bool byFloor{false};
    };

    /*! @brief Returns what is next; its entry is null if nothing waits. */
    [[nodiscard]] Pick next(SteadyTime now) const noexcept;
    /*! @brief Takes a request out because it is dispatched. */
    void take(const Pick &pick);

    [[nodiscard]] FairQueue &tier(Tier tier) noexcept
    {
        return m_tiers[tier];
    }
    [[nodiscard]] const FairQueue &tier(Tier tier) const noexcept
    {
        return m_tiers[tier];
    }
    /*! @brief Dispatches until the next floor turn of a tier. */
    [[nodiscard]] std::uint32_t dispatchesToFloor(Tier tier) const noexcept
    {
        return floorDueAfter - 1 - m_sinceFloor[tier];
    }
    [[nodiscard]] std::size_t size() const noexcept;

private:
    std::array<FairQueue, tierCount> m_tiers;
    // Dispatches since the tier's last floor turn, at most floorDueAfter - 1; unused for the top tier.
    std::array<std::uint32_t, tierCount> m_sinceFloor{};
};

} // namespace guavafield
