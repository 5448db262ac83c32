// Converts settings and fleet members for the peer service.
#include "apps/guavafieldd/peer_setup.hpp"

#include <guavafield/transport/peer/endpoints.hpp>

#include <boost/asio/ip/address.hpp>

namespace guavafield {

std::vector<PeerAddress> toPeerAddresses(std::span<const SocketAddress> addresses)
{
    std::vector<PeerAddress> result;
    result.reserve(addresses.size());
    for (const auto &it : addresses) {
        result.push_back(toPeerAddress(boost::asio::ip::make_address(it.address), it.port));
    }
    return result;
}

PeerServiceSettings makePeerServiceSettings(const DaemonSettings &settings, Incarnation incarnation)
{
    PeerServiceSettings result;
    result.membership.id = settings.host.id;
    result.membership.dataCentre = settings.host.dataCentre;
    result.membership.incarnation = incarnation;
    result.membership.seed = incarnation;
    result.listenAddress = settings.listen.address;
    result.port = settings.listen.peerPort;
    result.fleetSecret = settings.host.fleetSecret;
    result.seeds = toPeerAddresses(settings.peers.seeds);
    return result;
}

std::vector<HostId> leaseCandidates(const HostId &self, std::span<const Member> members)
{
    std::vector<HostId> result{self};
    for (const auto &it : members) {
        if (it.state == MemberState::Alive) {
            result.push_back(it.id);
        }
    }
    return result;
}

} // namespace guavafield
