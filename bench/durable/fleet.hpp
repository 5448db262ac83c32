// Table service cost of a fleet whose hosts account for usage and compete for leases.
#pragma once

#include <cstddef>
#include <map>
#include <ostream>
#include <string>

namespace guavafield::bench {

/*! @brief Table service traffic of all hosts with the same role. */
struct RoleCost
{
    std::size_t hosts{0};
    double writesPerSecond{0};
    double readsPerSecond{0};
    double bytesPerSecond{0};
};

struct FleetCost
{
    std::size_t hosts{0};
    std::map<std::string, RoleCost> roles;
    // Mean size of the row values written by usage flushes.
    double bytesPerFlush{0};
};

/*! @brief Simulates a fleet for 15 minutes; each host serves 76 requests per second from 5,000 teams with Zipf popularity. */
[[nodiscard]] FleetCost measureFleetCost(std::size_t hosts);
void printFleetCost(std::ostream &out, const FleetCost &cost);

} // namespace guavafield::bench
