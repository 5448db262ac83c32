// How a report reaches many hosts without a burst of datagrams at its sender.
#pragma once

#include <guavafield/coordination/membership/member.hpp>

#include <span>
#include <vector>

namespace guavafield {

/*! @brief A host that passes a report on, and those to which it does. */
struct RelayGroup
{
    PeerAddress relay;
    std::vector<PeerAddress> others;
};

/*!
 * @brief Divides hosts into groups of nearly equal size, so that no host sends to many more than the square root of their number.
 * @param targets Without duplicates; the first ones become relays.
 */
[[nodiscard]] std::vector<RelayGroup> relayGroups(std::span<const PeerAddress> targets);

} // namespace guavafield
