// Regions in which a request may be processed.
#pragma once

#include <guavafield/state/types.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace guavafield {

/*!
 * @brief The regions in which a request may be processed; empty if it may be processed anywhere.
 *
 * Sorted and without repetitions. A present list without elements allows no region.
 */
using HomeRegions = std::optional<std::vector<RegionId>>;

/*! @brief Returns the regions that are in both lists. */
[[nodiscard]] HomeRegions intersect(const HomeRegions &left, const HomeRegions &right);

/*! @brief Whether a request may be processed in a region; an empty id stands for an unknown region. */
[[nodiscard]] bool allows(const HomeRegions &homes, std::string_view region) noexcept;

} // namespace guavafield
