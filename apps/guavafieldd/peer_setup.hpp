// What the wirings of both platforms make of the settings and the members of the fleet.
#pragma once

#include <guavafield/coordination/membership/member.hpp>
#include <guavafield/protocol/settings/daemon_settings.hpp>
#include <guavafield/transport/peer/peer_service.hpp>

#include <span>
#include <vector>

namespace guavafield {

/*! @brief Returns the addresses as peers use them; throws boost::system::system_error if one is not an IP address. */
[[nodiscard]] std::vector<PeerAddress> toPeerAddresses(std::span<const SocketAddress> addresses);
/*! @brief Returns the settings of this host's part in the fleet; throws like toPeerAddresses(). */
[[nodiscard]] PeerServiceSettings makePeerServiceSettings(const DaemonSettings &settings, Incarnation incarnation);
/*! @brief Returns the hosts that may hold the fleet's leases: this one and all that are alive. */
[[nodiscard]] std::vector<HostId> leaseCandidates(const HostId &self, std::span<const Member> members);

} // namespace guavafield
