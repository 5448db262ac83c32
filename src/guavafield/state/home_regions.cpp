// Intersection and lookup of regions.
#include <guavafield/state/home_regions.hpp>

#include <algorithm>
#include <iterator>

namespace guavafield {

HomeRegions intersect(const HomeRegions &left, const HomeRegions &right)
{
    if (!left || !right) {
        return left ? left : right;
    }
    std::vector<RegionId> both;
    std::ranges::set_intersection(*left, *right, std::back_inserter(both));
    return both;
}

bool allows(const HomeRegions &homes, std::string_view region) noexcept
{
    return !homes || (!region.empty() && std::ranges::binary_search(*homes, region, std::less<>()));
}

} // namespace guavafield
