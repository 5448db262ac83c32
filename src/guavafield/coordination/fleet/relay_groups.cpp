// Round-robin assignment of hosts to relay groups.
#include <guavafield/coordination/fleet/relay_groups.hpp>

#include <cmath>

namespace guavafield {

std::vector<RelayGroup> relayGroups(std::span<const PeerAddress> targets)
{
    const auto count = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(targets.size()))));
    std::vector<RelayGroup> groups;
    for (std::size_t n = 0; n < targets.size(); ++n) {
        if (n < count) {
            groups.push_back(RelayGroup{targets[n], {}});
        } else {
            groups[n % count].others.push_back(targets[n]);
        }
    }
    return groups;
}

} // namespace guavafield
