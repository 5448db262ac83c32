// A fleet of hosts that count usage and compete for leases, without sockets.
#pragma once

#include <cstddef>
#include <map>
#include <ostream>
#include <string>

namespace guavafield::bench {

/*! @brief What the hosts of one role cost together. */
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
    // Mean of the flushed rows' values.
    double bytesPerFlush{0};
};

/*! @brief Runs a fleet for some windows; each host answers 76 requests a second of 5,000 teams with Zipf popularity. */
[[nodiscard]] FleetCost measureFleetCost(std::size_t hosts);
void printFleetCost(std::ostream &out, const FleetCost &cost);

} // namespace guavafield::bench
