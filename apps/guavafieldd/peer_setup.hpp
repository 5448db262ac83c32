// Conversions of settings and fleet members that the services of both platforms share.
#pragma once

#include <guavafield/coordination/membership/member.hpp>
#include <guavafield/protocol/settings/daemon_settings.hpp>
#include <guavafield/transport/peer/peer_service.hpp>

#include <span>
#include <vector>

namespace guavafield {

/*! @brief Converts addresses from the settings to peer addresses; throws boost::system::system_error if one is not an IP address. */
[[nodiscard]] std::vector<PeerAddress> toPeerAddresses(std::span<const SocketAddress> addresses);
/*! @brief Derives the settings of the peer service; throws like toPeerAddresses(). */
[[nodiscard]] PeerServiceSettings makePeerServiceSettings(const DaemonSettings &settings, Incarnation incarnation);
/*! @brief Returns the hosts that may hold the fleet-wide leases: this host and all live members. */
[[nodiscard]] std::vector<HostId> leaseCandidates(const HostId &self, std::span<const Member> members);

} // namespace guavafield
