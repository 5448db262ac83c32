// Relaying of reports, which avoids a burst of datagrams at the sender.
#pragma once

#include <guavafield/coordination/membership/member.hpp>

#include <span>
#include <vector>

namespace guavafield {

/*! @brief A relay and the hosts to which it forwards a report. */
struct RelayGroup
{
    PeerAddress relay;
    std::vector<PeerAddress> others;
};

/*!
 * @brief Divides hosts into groups of nearly equal size, so that each host sends to about the square root of their number at most.
 * @param targets Unique addresses; the first ones become relays.
 */
[[nodiscard]] std::vector<RelayGroup> relayGroups(std::span<const PeerAddress> targets);

} // namespace guavafield
